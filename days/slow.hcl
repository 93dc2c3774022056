base = "base/short.hcl"

day {
  title = "Some nodes run many times slower"
}

trouble "some nodes run many times slower" {
  kind = "slow"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 6
}
