base = "base/shared.hcl"

day {
  title = "Heads are killed with parts in hand and lent, and are back within a loan's life; then all of them"
}

trouble "some are killed" {
  kind   = "head_roll"
  at     = "4s"
  length = "6s"
  part   = 0.34
  down   = "200ms"
}

trouble "all are killed" {
  kind = "head_kill"
  at   = "12s"
  part = 1.0
  down = "300ms"
}
