# A partition, three voters on one side and two on the other, with a permit out on each: the minority gives none,
# nothing is lost or given twice, and all is as before after it.
title     = "Drains through a partition"
directors = 9
streamers = 4
seconds   = 44
viewers_per_s = 5
voters    = 5
out = { directors = 3, directors_of_hall = 2, step_ms = 300, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 4, who = ["d0"], args = ["drain", "director", "d1"], back = ["d1"], back_after = 3 },
  { kind = "order", at = 4.4, who = ["d8"], args = ["drain", "director", "d8"], back = ["d8"], back_after = 3 },
  { kind = "cut", at = 5, lasts = 12, from = ["d0", "d1", "d2", "d5", "d6"], to = ["d3", "d4", "d7", "d8"] },
  { kind = "order", at = 8, who = ["d3"], args = ["drain", "director", "d7", "--wait", "4"], expect = "refused" },
  { kind = "order", at = 8, who = ["d0"], args = ["drain", "director", "d5", "--wait", "4"], back = ["d5"], back_after = 0.3, expect = "any" },
  { kind = "order", at = 24, who = ["d3"], args = ["drain", "director", "d7", "--until", "12"], back = ["d7"], back_after = 0.3 },
]
