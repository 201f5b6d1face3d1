# Directors are killed with paid set-ups at every step: not answered by streamers that stall, answered and not
# passed on, standing; their viewers come again at others at once, before anybody knows of the loss.
title      = "Paid set-ups at every step as their directors are killed"
directors  = 7
streamers  = 12
seconds    = 30
session_s  = 10
viewers_per_s = 20
voters     = 3
continuity = true
plays_on   = 0.9
out = { ask_ms = 0 }
faults = [
  { kind = "stall", at = 5, lasts = 5, who = ["s0", "s1", "s2"] },
  { kind = "kill", at = 6, who = ["d3"], back_after = 3 },
  { kind = "kill", at = 8, who = ["d5"], back_after = 0.2 },
  { kind = "bad", at = 13, lasts = 6, from = ["d*"], to = ["s*"], delay_ms = 60, jitter_ms = 120 },
  { kind = "kill", at = 15, who = ["d4"], back_after = 3 },
  { kind = "kill", at = 17, who = ["d6"], back_after = 1 },
  { kind = "kill", at = 22, who = ["d3", "d5"], back_after = 2 },
]
