# A director is killed, then those that are about to inherit from it, the leader of the agreed log among them.
title      = "Heirs are killed in the middle of a takeover, and again"
directors  = 9
streamers  = 12
seconds    = 30
session_s  = 9
viewers_per_s = 10
voters     = 5
continuity = true
plays_on   = 0.9
out = { ask_ms = 0 }
faults = [
  { kind = "kill", at = 8, who = ["d6"], back_after = -1 },
  { kind = "kill", at = 9.95, who = ["d8"], back_after = 5 },
  { kind = "kill", at = 12.3, who = ["d4"], back_after = 5 },
]
