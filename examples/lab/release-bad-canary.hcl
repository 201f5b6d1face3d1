# The first director that is changed serves badly from then on: the release halts by itself, stays halted, and is
# taken back.
title     = "A canary that is worse"
directors = 9
streamers = 12
seconds   = 60
viewers_per_s = 25
session_s = 0.5
voters    = 5
waves     = [1, 40, 100]
watch_s   = 10
out = { directors = 3, directors_of_hall = 2, step_ms = 200, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 3, who = ["d5"], args = ["release", "start", "$PLAN"] },
  { kind = "order", at = 3.5, who = ["d5"], args = ["release", "step", "d0", "--until", "10"], back = ["d0"], back_after = 0.2, file = "new" },
  { kind = "bad", at = 7, lasts = 12, from = ["d0"], to = ["s*"], delay_ms = 300, jitter_ms = 550 },
  { kind = "order", at = 20, who = ["d6"], args = ["release", "status"], says = "is halted: its directors serve" },
  { kind = "order", at = 20.5, who = ["d6"], args = ["release", "step", "d1"], expect = "refused", says = "halted" },
  { kind = "order", at = 22, who = ["d6"], args = ["release", "back"] },
  { kind = "order", at = 22.5, who = ["d6"], args = ["release", "step", "d0", "--until", "20"], back = ["d0"], back_after = 0.2, file = "old" },
  { kind = "order", at = 45, who = ["d7"], args = ["release", "status"], says = "is back; wave 1 of 3, 0 of 9" },
]
