# One of three directors that know of each other, on the loopback. docs/operators/fleet.md has all settings.
fleet {
  cluster = "try"
  listen  = "127.0.0.1:7942"
  seeds   = ["127.0.0.1:7940", "127.0.0.1:7941", "127.0.0.1:7942"]
}
