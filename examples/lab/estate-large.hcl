# One director of five holds some 5,000 sessions as it is killed: its estate is split among heirs.
title      = "An estate of 5,000 sessions"
directors  = 5
streamers  = 16
seconds    = 48
session_s  = 60
viewers_per_s = 160
voters     = 3
continuity = true
plays_on   = 0.95
streams    = 6000
found_within_s = 4
equal_within_s = 5
out = { ask_ms = 0 }
faults = [
  { kind = "kill", at = 34, who = ["d4"], back_after = -1 },
]
