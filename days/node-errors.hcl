base = "base/short.hcl"

day {
  title = "Nodes answer with errors"
}

trouble "nodes answer with errors" {
  kind = "node_errors"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
