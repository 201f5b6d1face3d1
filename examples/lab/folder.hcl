# A folder that is full while its director runs and starts, one that is lost, and one put back from an older copy.
title     = "Folders: full, lost, and an older copy"
directors = 5
streamers = 3
seconds   = 24
viewers_per_s = 6
faults = [
  { kind = "copy", at = 1,  who = ["d2"] },
  { kind = "full", at = 2,  lasts = 8, who = ["d1"] },
  { kind = "kill", at = 4,  who = ["d1"], back_after = 0.3 },
  { kind = "kill", at = 5,  who = ["d2"], back_after = 0.3 },
  { kind = "kill", at = 13, who = ["d2"], back_after = 0.3, older_folder = true },
  { kind = "kill", at = 17, who = ["d3"], back_after = 0.3, without_folder = true },
]
