base = "base/short.hcl"

day {
  title = "Clients come with little time left"
}

trouble "clients come with little time left" {
  kind = "impatient"
  at = "2s"
  length = "4s"
  part = 0.7
  size = 0.4
}
