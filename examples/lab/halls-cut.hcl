# The peer links between two halls are cut (d0, d2, d4, d6 and d1, d3, d5); directors and streamers go on.
title     = "Two halls cut from each other"
directors = 7
streamers = 4
seconds   = 16
viewers_per_s = 8
faults = [
  { kind = "reset", at = 3, lasts = 6, from = ["d0", "d2", "d4", "d6"], to = ["d1", "d3", "d5"] },
  { kind = "cut",   at = 3, lasts = 6, from = ["d0", "d2", "d4", "d6"], to = ["d1", "d3", "d5"] },
]
