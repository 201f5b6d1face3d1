# A director stands still for 10 s with rungs to set in its hands, and goes on when its estate is another's.
title      = "A director is stopped for 10 s and let go on"
directors  = 9
streamers  = 12
seconds    = 30
session_s  = 14
viewers_per_s = 8
voters     = 5
continuity = true
out = { ask_ms = 0 }
found_within_s = 3
faults = [
  { kind = "short", at = 6, lasts = 18, who = ["s0", "s1", "s2", "s3"] },
  { kind = "stop", at = 8, lasts = 10, who = ["d6"] },
  { kind = "kill", at = 20, who = ["d7"], back_after = -1 },
]
