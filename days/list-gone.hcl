base = "base/short.hcl"

day {
  title = "The node list is out of reach while nodes are replaced"
}

trouble "the node list is out of reach while nodes are replaced" {
  kind = "list_gone"
  at = "2s"
  length = "4s"
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
