base = "base/short.hcl"

day {
  title = "Connections are reset under answers"
}

trouble "connections are reset under answers" {
  kind = "resets"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
