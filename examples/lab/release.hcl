# A release over nine directors in three waves, by nine supervisors that ask at one time.
title     = "A release without a fault"
directors = 9
streamers = 12
seconds   = 80
viewers_per_s = 20
session_s = 0.5
voters    = 5
waves     = [1, 40, 100]
watch_s   = 4
out = { directors = 3, directors_of_hall = 2, step_ms = 200, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 3, who = ["d0"], args = ["release", "start", "$PLAN"] },
  { kind = "order", at = 3.5, who = ["d3"], args = ["release", "step", "d0", "--until", "70"], back = ["d0"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d4"], args = ["release", "step", "d1", "--until", "70"], back = ["d1"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d5"], args = ["release", "step", "d2", "--until", "70"], back = ["d2"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d6"], args = ["release", "step", "d3", "--until", "70"], back = ["d3"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d7"], args = ["release", "step", "d4", "--until", "70"], back = ["d4"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d8"], args = ["release", "step", "d5", "--until", "70"], back = ["d5"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d0"], args = ["release", "step", "d6", "--until", "70"], back = ["d6"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d1"], args = ["release", "step", "d7", "--until", "70"], back = ["d7"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d2"], args = ["release", "step", "d8", "--until", "70"], back = ["d8"], back_after = 0.2, file = "new" },
  { kind = "order", at = 78, who = ["d4"], args = ["release", "status"], says = "is done" },
]
