base = "base/short.hcl"

day {
  title = "The node list tells late while nodes are replaced"
}

trouble "the list tells late" {
  kind = "list_late"
  at = "2s"
  length = "4s"
  size = 1.5
}

trouble "nodes are replaced meanwhile" {
  kind = "preempt"
  at = "3s"
  length = "1s"
  part = 0.34
  size = 0.5
  every = "1s"
  down = "1500ms"
}
