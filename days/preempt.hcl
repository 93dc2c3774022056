base = "base/short.hcl"

day {
  title = "Nodes drain in waves with half a second of notice"
}

trouble "nodes drain in waves with half a second of notice" {
  kind = "preempt"
  at = "2s"
  length = "2s"
  part = 0.5
  size = 0.5
  every = "1s"
  down = "2s"
}
