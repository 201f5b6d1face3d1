# Noise, oversized and foreign messages at one peer port as fast as one thread sends.
title     = "Noise at a peer port"
directors = 5
streamers = 3
seconds   = 14
viewers_per_s = 10
faults = [
  { kind = "noise", at = 3, lasts = 6, who = ["d1"] },
]
