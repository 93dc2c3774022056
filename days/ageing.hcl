base = "base/short.hcl"

day {
  title = "Nodes grow slower, then die once"
}

trouble "nodes grow slower, then die once" {
  kind = "ageing"
  at = "1s"
  length = "4s"
  part = 0.34
  size = 8
  down = "1500ms"
}
