base = "base/short.hcl"

day {
  title = "Another program takes part of the machines"
}

trouble "another program takes part of the machines" {
  kind = "neighbour"
  at = "2s"
  length = "5s"
  part = 0.5
  size = 0.6
  every = "1s"
}
