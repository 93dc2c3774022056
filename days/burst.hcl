base = "base/short.hcl"

day {
  title = "Everybody asks for more"
}

trouble "everybody asks for more" {
  kind = "burst"
  at = "2s"
  length = "4s"
  size = 3
}
