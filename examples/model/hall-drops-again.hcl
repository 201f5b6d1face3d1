# A hall is lost, and drops again three times during its return; half the directors hear of each return 4 s later
# than the rest, and in the midst of the first one some directors restart and know nothing.
title     = "A hall that drops again during its return"
directors = 3
streamers = 18
halls     = ["hall-a", "hall-b"]
seconds   = 110
load      = 0.6

incidents = [
  { kind = "loss", hall = "hall-b", at = 30, lasts = 10, late_half_s = 4 },
  { kind = "restart", at = 44, size = 0.3 },
  { kind = "loss", hall = "hall-b", at = 46, lasts = 5, late_half_s = 4 },
  { kind = "loss", hall = "hall-b", at = 56, lasts = 5, late_half_s = 4 },
  { kind = "loss", hall = "hall-b", at = 66, lasts = 5, late_half_s = 4 },
]

operator {
  spill_share = 0.8
}
