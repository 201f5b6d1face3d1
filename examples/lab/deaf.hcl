# A peer that reads nothing for 30 s while its connections stay up, and is there again after it.
title     = "A peer that reads nothing for 30 s"
directors = 7
streamers = 4
seconds   = 42
viewers_per_s = 6
faults = [
  { kind = "stop", at = 3, lasts = 30, who = ["d6"] },
]
