# A hall is lost when the other is above 130% of its links already; there a streamer stalls and an uplink runs short.
title     = "The far hall is full when the spill begins"
directors  = 3
streamers  = 18
halls      = ["hall-a", "hall-b"]
seconds    = 80
load       = 1.3
first_hall = 0.5

incidents = [
  { kind = "loss", hall = "hall-b", at = 30, lasts = 15, directors = true },
  { kind = "stall", hall = "hall-a", at = 34, lasts = 8, size = 0.1 },
  { kind = "short", hall = "hall-a", at = 36, lasts = 6, size = 0.3 },
]

operator {
  spill_share = 0.8
}
