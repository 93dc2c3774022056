base = "base/short.hcl"

day {
  title = "Nodes stand still now and then"
}

trouble "nodes stand still now and then" {
  kind = "pauses"
  at = "2s"
  length = "5s"
  part = 0.5
  size = 300
  every = "1s"
}
