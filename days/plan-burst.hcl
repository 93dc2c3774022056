base = "base/short.hcl"

day {
  title = "A whole plan asks for more"
}

trouble "a whole plan asks for more" {
  kind = "plan_burst"
  at = "2s"
  length = "4s"
  plan = "basic"
  size = 5
}
