# Every link between directors is cut for the whole run; everything else is whole. Set fleet=false beside it.
title     = "All peer links cut"
directors = 7
streamers = 4
seconds   = 20
viewers_per_s = 20
found_within_s = 60
faults = [
  { kind = "cut", at = 1, lasts = 19, from = ["d*"], to = ["d*"] },
]
