base = "../base/hold.hcl"

day {
  title = "A quarter of the nodes run at a quarter of their speed"
}

trouble "some nodes run slowly" {
  kind   = "slow"
  at     = "6s"
  length = "9s"
  part   = 0.25
  size   = 4
}
