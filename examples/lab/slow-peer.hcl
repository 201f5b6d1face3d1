# One peer with 30% loss and 300 ms delay, one link that carries one way, and a trickle: nobody is removed.
title     = "A bad peer, a one-way link and a trickle"
directors = 7
streamers = 4
seconds   = 24
viewers_per_s = 8
faults = [
  { kind = "bad", at = 3, lasts = 7, from = ["d1"], to = ["d*"], loss = 0.3, delay_ms = 300, jitter_ms = 60, twice = 0.1 },
  { kind = "cut", at = 12, lasts = 5, from = ["d2"], to = ["d5"], one_way = true },
  { kind = "bad", at = 12, lasts = 5, from = ["d3"], to = ["d*"], bytes_per_s = 40 },
]
