# A voter loses its folder and votes no more as what it was; it is removed and added again. Another comes back on
# an older copy of its folder, a third with a full one.
title     = "Voters whose folders are lost, old and full"
directors = 7
streamers = 4
seconds   = 60
viewers_per_s = 5
voters    = 5
out = { directors = 1, directors_of_hall = 1, step_ms = 300, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "copy", at = 3, who = ["d1"] },
  { kind = "order", at = 3.5, who = ["d5"], args = ["drain", "director", "d6", "--until", "6"], back = ["d6"], back_after = 0.3 },
  { kind = "kill", at = 6, who = ["d0"], back_after = 0.3, without_folder = true },
  { kind = "order", at = 10, who = ["d5"], args = ["fleet", "voters", "add", "d0"], expect = "refused" },
  { kind = "order", at = 12, who = ["d5"], args = ["fleet", "voters", "remove", "d0"] },
  { kind = "order", at = 16, who = ["d5"], args = ["fleet", "voters", "add", "d0", "--wait", "10"] },
  { kind = "kill", at = 24, who = ["d1"], back_after = 0.3, older_folder = true },
  { kind = "order", at = 28, who = ["d6"], args = ["fleet", "voters", "remove", "d1"] },
  { kind = "order", at = 31, who = ["d6"], args = ["fleet", "voters", "add", "d1", "--wait", "10"] },
  { kind = "full", at = 36, lasts = 8, who = ["d2"] },
  { kind = "order", at = 37, who = ["d5"], args = ["drain", "director", "d6", "--until", "10"], back = ["d6"], back_after = 0.3 },
  { kind = "kill", at = 46, who = ["d2"], back_after = 0.3 },
  { kind = "order", at = 52, who = ["d6"], args = ["drain", "director", "d5", "--until", "6"], back = ["d5"], back_after = 0.3 },
]
