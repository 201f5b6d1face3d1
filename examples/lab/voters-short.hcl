# One voter loses its folder, is removed and added again; another comes back on an older copy of its folder.
title     = "A lost folder and an older copy"
directors = 4
streamers = 3
seconds   = 22
viewers_per_s = 4
voters    = 3
out = { directors = 1, directors_of_hall = 1, step_ms = 300, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "copy", at = 1, who = ["d1"] },
  { kind = "kill", at = 2, who = ["d0"], back_after = 0.2, without_folder = true },
  { kind = "order", at = 5, who = ["d3"], args = ["fleet", "voters", "add", "d0"], expect = "refused" },
  { kind = "order", at = 6, who = ["d3"], args = ["fleet", "voters", "remove", "d0", "--wait", "8"] },
  { kind = "order", at = 8, who = ["d3"], args = ["fleet", "voters", "add", "d0", "--wait", "8"] },
  { kind = "kill", at = 12, who = ["d1"], back_after = 0.2, older_folder = true },
  { kind = "order", at = 16, who = ["d0"], args = ["drain", "director", "d3", "--until", "8"], back = ["d3"], back_after = 0.2 },
]
