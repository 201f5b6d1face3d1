# Three drains ordered in one instant within a budget of one, the voter that founded the log killed just then; a
# hall's streamers drained and opened again meanwhile.
title     = "Drains, a dead leader and a drained hall"
directors = 5
streamers = 4
streamer_halls = 2
warm_up_s = 2
streams   = 40
session_s = 0.5
seconds   = 24
viewers_per_s = 6
voters    = 3
out = { directors = 1, directors_of_hall = 1, step_ms = 300, longest_ms = 60000, ask_ms = 2000, streamers = 2, streamers_percent = 50, hall_percent = 100 }
faults = [
  { kind = "order", at = 3, who = ["d3"], args = ["drain", "director", "d3", "--until", "20"], back = ["d3"], back_after = 0.2 },
  { kind = "order", at = 3, who = ["d4"], args = ["drain", "director", "d1", "--until", "20"], back = ["d1"], back_after = 0.2 },
  { kind = "kill", at = 3.02, who = ["d0"], back_after = 1 },
  { kind = "order", at = 6, who = ["d4"], args = ["drain", "hall", "hall-b"] },
  { kind = "order", at = 7, who = ["d2"], args = ["drain", "streamer", "s-0"], expect = "refused" },
  { kind = "order", at = 11, who = ["d4"], args = ["undrain", "hall", "hall-b"] },
]
