# A director is cut off from all others, and not from viewers and streamers: it serves on, and acts no more on
# what another inherits. Later one is cut off one way.
title      = "A director is cut off from all others alone"
directors  = 9
streamers  = 12
seconds    = 30
session_s  = 10
viewers_per_s = 8
voters     = 5
continuity = true
out = { ask_ms = 0 }
faults = [
  { kind = "short", at = 4, lasts = 24, who = ["s0", "s1", "s2", "s3"] },
  { kind = "cut", at = 7, lasts = 7, from = ["d6"], to = ["d0", "d1", "d2", "d3", "d4", "d5", "d7", "d8"] },
  { kind = "cut", at = 18, lasts = 4, from = ["d5"], to = ["d0", "d1", "d2", "d3", "d4", "d6", "d7", "d8"], one_way = true },
  { kind = "kill", at = 24, who = ["d7"], back_after = -1 },
]
