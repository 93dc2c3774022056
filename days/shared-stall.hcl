base = "base/shared.hcl"

day {
  title = "Heads stand still over the end of what they borrowed, and wake with it in hand"
}

trouble "stand still" {
  kind   = "head_stall"
  at     = "4s"
  length = "10s"
  part   = 0.5
  size   = 1.5
  every  = "2s"
}
