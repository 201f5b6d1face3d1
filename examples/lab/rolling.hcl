# All seven are restarted one after another (SIGTERM), then all at once (SIGKILL).
title     = "Rolling restart, and all at once"
directors = 7
streamers = 4
seconds   = 44
viewers_per_s = 6
faults = [
  { kind = "term", at = 2,  who = ["d0"], back_after = 0.2 },
  { kind = "term", at = 6,  who = ["d1"], back_after = 0.2 },
  { kind = "term", at = 10, who = ["d2"], back_after = 0.2 },
  { kind = "term", at = 14, who = ["d3"], back_after = 0.2 },
  { kind = "term", at = 18, who = ["d4"], back_after = 0.2 },
  { kind = "term", at = 22, who = ["d5"], back_after = 0.2 },
  { kind = "term", at = 26, who = ["d6"], back_after = 0.2 },
  { kind = "kill", at = 34, who = ["d*"], back_after = 0.3 },
]
