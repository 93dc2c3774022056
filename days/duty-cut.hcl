base = "base/duties.hcl"

day {
  title = "Holders are cut off from the other heads, then from nodes and services"
}

trouble "cut off from heads" {
  kind   = "duty_cut"
  at     = "3500ms"
  length = "2s"
  every  = "2s"
  size   = 2
}

trouble "cut off from nodes and services" {
  kind   = "duty_nodes"
  at     = "6500ms"
  length = "3s"
  every  = "3s"
  size   = 3
}
