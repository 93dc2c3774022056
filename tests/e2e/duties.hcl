# A short day for tests: five heads, three of them vote, two of six cells are drained.
base = "../../days/base/duties.hcl"

day {
  title  = "Duties in tests"
  length = "10s"
}

load {
  rate    = 30
  objects = 48
}

duties {
  voters = [0, 1, 2]
  lease  = "800ms"

  duty "drain" {
    shards = 6
    moves  = 36
  }
}
