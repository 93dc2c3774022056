base = "../base/hold.hcl"

day {
  title = "Everybody asks for more, twice as much"
}

trouble "everybody asks for more" {
  kind   = "burst"
  at     = "6s"
  length = "8s"
  size   = 2.2
}
