# Four of nine directors are killed in one instant at load, keepers of each other's estates among them.
title      = "Nearly half of the fleet is killed at once"
directors  = 9
streamers  = 12
seconds    = 26
session_s  = 8
viewers_per_s = 12
voters     = 5
continuity = true
plays_on   = 0.9
out = { ask_ms = 0 }
faults = [
  { kind = "kill", at = 9, who = ["d3", "d4", "d6", "d7"], back_after = -1 },
]
