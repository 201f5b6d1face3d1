# A partition four to three and its healing; within each part directors and streamers go on.
title     = "Partition four to three"
directors = 7
streamers = 4
seconds   = 16
viewers_per_s = 8
faults = [
  { kind = "cut", at = 3, lasts = 6, from = ["d0", "d1", "d2", "d3"], to = ["d4", "d5", "d6"] },
]
