# A hall's streamers are drained and opened again while viewers go on: no set-up goes there meanwhile, and they
# come back as cold ones, paced over all directors together. A second hall beside it is refused, and one streamer of
# it as well: the budget of links is spent.
title     = "A hall is drained and opened again"
directors = 7
streamers = 4
streamer_halls = 2
warm_up_s = 3
streams   = 40
seconds   = 30
viewers_per_s = 8
session_s = 0.5
voters    = 5
out = { streamers = 3, streamers_percent = 60, hall_percent = 100, step_ms = 200 }
faults = [
  { kind = "order", at = 3, who = ["d6"], args = ["drain", "hall", "hall-b"] },
  { kind = "order", at = 4, who = ["d5"], args = ["drain", "hall", "hall-a"], expect = "refused" },
  { kind = "order", at = 5, who = ["d0"], args = ["drain", "streamer", "s-0"], expect = "refused" },
  { kind = "kill", at = 6, who = ["d3"], back_after = 0.5 },
  { kind = "order", at = 12, who = ["d1"], args = ["undrain", "hall", "hall-b"] },
  { kind = "order", at = 13, who = ["d2"], args = ["drain", "streamer", "s-0"], expect = "refused" },
  { kind = "order", at = 18, who = ["d4"], args = ["drain", "streamer", "s-0"] },
  { kind = "order", at = 22, who = ["d6"], args = ["undrain", "streamer", "s-0"] },
]
