# Whoever leads is asked for permits and killed: the order goes on, no permit is given twice, and what was lost
# counts as out. Any of the five voters may lead, so all are killed in turn while drains go on.
title     = "Drains while leaders are killed"
directors = 9
streamers = 4
seconds   = 56
viewers_per_s = 5
voters    = 5
out = { directors = 2, directors_of_hall = 2, step_ms = 300, longest_ms = 60000, ask_ms = 2000 }
faults = [
  { kind = "kill", at = 4.05, who = ["d0"], back_after = 1 },
  { kind = "kill", at = 11.05, who = ["d1"], back_after = 1 },
  { kind = "kill", at = 18.05, who = ["d2"], back_after = 1 },
  { kind = "kill", at = 25.05, who = ["d3"], back_after = 1 },
  { kind = "kill", at = 32.05, who = ["d4"], back_after = 1 },
  { kind = "order", at = 4, who = ["d5"], args = ["drain", "director", "d6", "--until", "16"], back = ["d6"], back_after = 0.3 },
  { kind = "order", at = 13, who = ["d6"], args = ["drain", "director", "d7", "--until", "16"], back = ["d7"], back_after = 0.3 },
  { kind = "order", at = 22, who = ["d7"], args = ["drain", "director", "d8", "--until", "16"], back = ["d8"], back_after = 0.3 },
  { kind = "order", at = 31, who = ["d8"], args = ["drain", "director", "d5", "--until", "16"], back = ["d5"], back_after = 0.3 },
]
