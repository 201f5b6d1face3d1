# One director of nine is killed at load: its sessions play on, and another acts on them from then on.
title      = "A director is killed, and its sessions play on"
directors  = 9
streamers  = 12
seconds    = 24
session_s  = 6
viewers_per_s = 12
voters     = 5
continuity = true
out = { ask_ms = 0 }
faults = [
  { kind = "kill", at = 8, who = ["d6"], back_after = 6 },
]
