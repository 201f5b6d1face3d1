# All nine directors are to be drained, ordered through different ones in one instant, within a budget of two
# out and one of a hall.
title     = "Nine drains ordered in one instant"
directors = 9
streamers = 4
seconds   = 50
viewers_per_s = 5
voters    = 5
out = { directors = 2, directors_of_hall = 1, step_ms = 500, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 4, who = ["d4"], args = ["drain", "director", "d0", "--until", "44"], back = ["d0"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d5"], args = ["drain", "director", "d1", "--until", "44"], back = ["d1"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d6"], args = ["drain", "director", "d2", "--until", "44"], back = ["d2"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d7"], args = ["drain", "director", "d3", "--until", "44"], back = ["d3"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d8"], args = ["drain", "director", "d4", "--until", "44"], back = ["d4"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d0"], args = ["drain", "director", "d5", "--until", "44"], back = ["d5"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d1"], args = ["drain", "director", "d6", "--until", "44"], back = ["d6"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d2"], args = ["drain", "director", "d7", "--until", "44"], back = ["d7"], back_after = 0.3 },
  { kind = "order", at = 4, who = ["d3"], args = ["drain", "director", "d8", "--until", "44"], back = ["d8"], back_after = 0.3 },
]
