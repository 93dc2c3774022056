base = "base/short.hcl"

day {
  title = "Nodes refuse connections"
}

trouble "nodes refuse connections" {
  kind = "refused"
  at = "2s"
  length = "3s"
  part = 0.34
}
