base = "base/duties.hcl"

day {
  title = "The head that holds most duties is told to end, again and again"
}

trouble "holders are told to end" {
  kind   = "duty_term"
  at     = "3500ms"
  length = "7s"
  every  = "2500ms"
  down   = "2500ms"
}
