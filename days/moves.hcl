base = "base/short.hcl"

day {
  title = "Objects move all the while"
}

trouble "objects move" {
  kind   = "moves"
  at     = "1s"
  length = "7s"
  part   = 1
  size   = 10
  every  = "250ms"
}
