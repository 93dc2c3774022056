base = "base/short.hcl"

day {
  title = "Nodes die and come back cold"
}

trouble "nodes die and come back cold" {
  kind = "crash"
  at = "2s"
  part = 0.34
  down = "2s"
}
