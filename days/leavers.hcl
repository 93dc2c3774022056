base = "base/short.hcl"

day {
  title = "Clients leave while they wait"
}

trouble "clients leave while they wait" {
  kind = "leavers"
  at = "2s"
  length = "4s"
  part = 0.5
}
