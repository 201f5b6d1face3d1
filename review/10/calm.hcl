# The same without the disruption.
title         = "Ten directors"
directors     = 10
streamers     = 12
seconds       = 34
session_s     = 30
viewers_per_s = 6
voters        = 3
continuity    = true
plays_on      = 0
out           = { ask_ms = 0 }
