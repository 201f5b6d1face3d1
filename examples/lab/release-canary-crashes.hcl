# The first director that is changed dies at once when it is back: the release halts by itself.
title     = "A canary that crashes"
directors = 9
streamers = 12
seconds   = 30
viewers_per_s = 10
session_s = 0.5
voters    = 5
waves     = [1, 40, 100]
watch_s   = 6
out = { directors = 3, directors_of_hall = 2, step_ms = 200, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 3, who = ["d5"], args = ["release", "start", "$PLAN"] },
  { kind = "order", at = 3.5, who = ["d5"], args = ["release", "step", "d0", "--until", "10"], back = ["d0"], back_after = 0.2, file = "new" },
  { kind = "kill", at = 9, who = ["d0"], back_after = 0.3 },
  { kind = "order", at = 16, who = ["d6"], args = ["release", "status"], says = "is halted: d0, changed in it, was lost" },
  { kind = "order", at = 17, who = ["d6"], args = ["release", "resume"] },
  { kind = "order", at = 29, who = ["d6"], args = ["release", "status"], says = "1 of 9 directors changed" },
]
