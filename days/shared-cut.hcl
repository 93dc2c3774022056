base = "base/shared.hcl"

day {
  title = "Half of the heads are cut off while they hold parts of the others, and heal"
}

trouble "half is cut off" {
  kind   = "heads_cut"
  at     = "6s"
  length = "6s"
  part   = 0.5
  every  = "60s"
}
