# Two processes under one name: found and said; the name is the later one's.
title     = "Two processes under one name"
directors = 5
streamers = 3
seconds   = 16
viewers_per_s = 5
faults = [
  { kind = "twin", at = 3, lasts = 5, who = ["d2"] },
]
