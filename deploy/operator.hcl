# Settings of stonewharf's own subsystems. `stonewharf check --operator FILE` checks a file and prints what is in
# force; SIGHUP takes a changed file over, all or nothing. A block that is absent is off. docs/operators/halls.md
# tells when to change what.
#
# Directors that know of each other: off here, since there is no block `fleet` and this platform has one listener and
# no talk between instances. Its settings, for other installations: docs/operators/fleet.md. With them off are voters
# and drains (`agreement`, `out`) and sessions that outlive their director (`continuity`, docs/operators/continuity.md).

# Loss and return of a hall: which hall comes first, how much spills from a lost one, how fast one returns.
halls {
  # Whether any of this is in force. true or false, default true.
  enabled = true

  # Which halls come first: "none" (all alike; load and price decide) or "home" (the director's own, then the
  # others where the own has no room or is lost). Default "none".
  prefer = "none"

  # An order of halls by class, in place of `prefer` for that class; halls left out come last. Default: none.
  # order = { replay = ["hall-a", "hall-b"] }

  # Share of the standing halls' links and uplinks that sessions from a lost hall may fill, all directors
  # together. Each takes an even part, so directors that are lost take theirs with them. 0 to 1, default 0.8.
  spill_share = 0.8

  # Set-ups a second that may spill, all directors together. 0 to 1000000; 0, the default, states no rate.
  spill_rate = 0

  # What a shortage in a hall that stands leaves of each director's part of the spill; it recovers within 10 s.
  # 0.1 to 1, default 0.5. With 1 shortages change nothing.
  back_off = 0.5

  # Chance that a whole hall is taken for lost by one run of bad luck. 1e-9 to 0.1, default 0.001.
  false_alarm = 0.001

  # For how long a sign of a streamer counts, in milliseconds. 500 to 60000, default 5000.
  evidence_ms = 5000

  # Time between trials of a lost hall by one director, in milliseconds; doubles up to fourfold. 250 to 60000,
  # default 2000.
  trial_ms = 2000

  # Steps in which a return is raised, over the settings' warm-up. 1 to 32, default 4.
  return_steps = 4

  # How many times the warm-up a return may last after drops; each drop doubles it. 1 to 64, default 2.
  slowest_return = 2

  # Seconds without a drop after which one is forgotten. 1 to 3600, default 30.
  quiet_s = 30

  # The halls, by name: those that `order` may use and that the log names. Default: those of the deployment's
  # settings. State them only to have a file refused that is meant for another deployment.
  # names = ["hall-a", "hall-b"]
}
