# One streamer stalls, another is restarted and comes back cold, while a director is killed and comes back: what all
# directors together send to the cold one stays within its pace, also by the one that has just restarted.
title     = "A stalled streamer, a cold one, and a restarted director"
directors = 5
streamers = 4
seconds   = 20
viewers_per_s = 14
session_s = 0.8
warm_up_s = 4
streams   = 24
faults = [
  { kind = "stall", at = 2, lasts = 3, who = ["s3"] },
  { kind = "restart", at = 7, lasts = 1.5, who = ["s1"] },
  { kind = "kill", at = 7.5, who = ["d2"], back_after = 0.5 },
]
