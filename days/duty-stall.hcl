base = "base/duties.hcl"

day {
  title = "The head that holds most duties stands still for longer than its lease, then goes on"
}

trouble "holders stand still" {
  kind   = "duty_stall"
  at     = "3500ms"
  length = "7s"
  every  = "2500ms"
  size   = 2.2
}
