# A hall is lost with its directors for 15 s and returns cold, its list told late.
title     = "Loss and return of a hall"
directors = 3
streamers = 18
halls     = ["hall-a", "hall-b"]
seconds   = 80
load      = 0.6

incidents = [
  { kind = "loss", hall = "hall-b", at = 30, lasts = 15, directors = true },
]

operator {
  spill_share = 0.8
}
