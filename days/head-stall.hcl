base = "base/short.hcl"

day {
  title = "Heads stand still, then find everything at once"
}

trouble "heads stand still, then find everything at once" {
  kind = "head_stall"
  at = "2s"
  length = "5s"
  part = 1.0
  size = 1.2
  every = "2s"
}
