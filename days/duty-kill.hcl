base = "base/duties.hcl"

day {
  title = "The head that holds most duties is killed, again and again"
}

trouble "holders are killed" {
  kind   = "duty_kill"
  at     = "4s"
  length = "7s"
  every  = "2500ms"
  down   = "1s"
}
