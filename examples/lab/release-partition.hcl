# A partition in the middle of a release, with permits out: two or more are lost to the leader, so it halts; after
# the partition a person lets it go on.
title     = "A release through a partition"
directors = 9
streamers = 12
seconds   = 110
viewers_per_s = 12
session_s = 0.5
voters    = 5
waves     = [1, 40, 100]
watch_s   = 4
out = { directors = 3, directors_of_hall = 2, step_ms = 200, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "order", at = 3, who = ["d5"], args = ["release", "start", "$PLAN"] },
  { kind = "order", at = 3.5, who = ["d3"], args = ["release", "step", "d0", "--until", "104"], back = ["d0"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d4"], args = ["release", "step", "d1", "--until", "104"], back = ["d1"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d5"], args = ["release", "step", "d2", "--until", "104"], back = ["d2"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d6"], args = ["release", "step", "d3", "--until", "104"], back = ["d3"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d7"], args = ["release", "step", "d4", "--until", "104"], back = ["d4"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d8"], args = ["release", "step", "d5", "--until", "104"], back = ["d5"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d0"], args = ["release", "step", "d6", "--until", "104"], back = ["d6"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d1"], args = ["release", "step", "d7", "--until", "104"], back = ["d7"], back_after = 0.2, file = "new" },
  { kind = "order", at = 3.5, who = ["d2"], args = ["release", "step", "d8", "--until", "104"], back = ["d8"], back_after = 0.2, file = "new" },
  { kind = "cut", at = 8, lasts = 10, from = ["d0", "d1", "d2", "d5", "d6"], to = ["d3", "d4", "d7", "d8"] },
  { kind = "order", at = 15, who = ["d6"], args = ["release", "status"], says = "is halted" },
  { kind = "order", at = 30, who = ["d7"], args = ["release", "status"], says = "is halted" },
  { kind = "order", at = 31, who = ["d7"], args = ["release", "resume"] },
  { kind = "order", at = 107, who = ["d7"], args = ["release", "status"], says = "is done" },
]
