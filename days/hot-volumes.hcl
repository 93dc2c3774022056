base = "base/short.hcl"

day {
  title = "A few volumes ask for much more"
}

trouble "a few volumes ask for much more" {
  kind = "hot_volumes"
  at = "2s"
  length = "4s"
  part = 0.2
  size = 12
}
