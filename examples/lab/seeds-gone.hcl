# All three seeds are killed, two others are restarted without them, and the seeds come back 6 s later.
title     = "All seeds gone at a start, back later"
directors = 7
streamers = 4
seconds   = 22
viewers_per_s = 5
faults = [
  { kind = "kill", at = 2, who = ["d0", "d1", "d2"], back_after = 8 },
  { kind = "kill", at = 6, who = ["d5", "d6"], back_after = 0.2, without_folder = true },
]
