# Planned restarts hand their estates over at once; one that is killed and back within its lease finds that its
# former life is another's; the links to keepers trickle meanwhile.
title      = "Planned restarts, and one that is back within its lease"
directors  = 7
streamers  = 12
seconds    = 30
session_s  = 9
viewers_per_s = 10
voters     = 5
continuity = true
plays_on   = 0.9
out = { ask_ms = 0 }
faults = [
  { kind = "term", at = 6, who = ["d5"], back_after = 0.5 },
  { kind = "kill", at = 10, who = ["d6"], back_after = 0.1 },
  { kind = "bad", at = 14, lasts = 8, from = ["d1"], to = ["d*"], bytes_per_s = 4000, loss = 0.1 },
  { kind = "kill", at = 18, who = ["d1"], back_after = 2 },
  { kind = "term", at = 22, who = ["d0"], back_after = 0.5 },
]
