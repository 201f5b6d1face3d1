# A release is halted by a person with its first director changed; then all directors are killed and come back: it
# is still halted, its permits are known, and it goes back when it is told to.
title     = "A halted release through a restart of the whole fleet"
directors = 7
streamers = 6
seconds   = 44
viewers_per_s = 10
session_s = 0.5
voters    = 3
waves     = [1, 40, 100]
watch_s   = 20
out = { directors = 2, directors_of_hall = 1, step_ms = 200, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 3, who = ["d5"], args = ["release", "start", "$PLAN"] },
  { kind = "order", at = 3.5, who = ["d5"], args = ["release", "step", "d0", "--until", "10"], back = ["d0"], back_after = 0.2, file = "new" },
  { kind = "order", at = 9, who = ["d6"], args = ["release", "halt"] },
  { kind = "kill", at = 10, who = ["d*"], back_after = 0.3 },
  { kind = "order", at = 17, who = ["d4"], args = ["release", "status", "--wait", "10"], says = "is halted: by operator; wave 1 of 3, 1 of 7" },
  { kind = "order", at = 20, who = ["d4"], args = ["release", "step", "d1"], expect = "refused", says = "halted" },
  { kind = "order", at = 22, who = ["d4"], args = ["release", "back"] },
  { kind = "order", at = 22.5, who = ["d4"], args = ["release", "step", "d0", "--until", "12"], back = ["d0"], back_after = 0.2, file = "old" },
  { kind = "order", at = 40, who = ["d3"], args = ["release", "status"], says = "is back" },
]
