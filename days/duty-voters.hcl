base = "base/duties.hcl"

day {
  title = "All voters are killed at one stroke, one comes back with an empty disk; then no head hears any other"
  length = "28s"
}

trouble "voters are killed" {
  kind = "duty_lost"
  at   = "4s"
  down = "500ms"
}

trouble "no majority anywhere" {
  kind   = "duty_quiet"
  at     = "9s"
  length = "10s"
}
