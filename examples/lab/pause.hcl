# A pause under a second removes nobody; one of 10 s is found, and healed when the process goes on.
title     = "Stopped for 0.8 s, and for 10 s"
directors = 7
streamers = 4
seconds   = 24
viewers_per_s = 8
faults = [
  { kind = "stop", at = 3, lasts = 0.8, who = ["d2"] },
  { kind = "stop", at = 8, lasts = 10, who = ["d4"] },
]
