# Seven in ten directors are killed at once, and are started again 2 s later. The voters are among the others.
title         = "Seven in ten directors are killed at once"
directors     = 10
streamers     = 12
seconds       = 34
session_s     = 30
viewers_per_s = 6
voters        = 3
continuity    = true
plays_on      = 0
out           = { ask_ms = 0 }
faults = [
  { kind = "kill", at = 10, who = ["d3", "d4", "d5", "d6", "d7", "d8", "d9"], back_after = 2 },
]
