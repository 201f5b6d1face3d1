# One director is killed and back at once under its name; another is killed without return.
title     = "Killed and back at once, and killed for good"
directors = 7
streamers = 4
seconds   = 18
viewers_per_s = 8
faults = [
  { kind = "kill", at = 3, who = ["d3"], back_after = 0 },
  { kind = "kill", at = 9, who = ["d5"] },
]
