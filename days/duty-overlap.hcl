base = "base/duties.hcl"

day {
  title = "Stalls, cuts, kills and bad weather at once, and nodes crash"
  length = "18s"
}

trouble "holders stand still" {
  kind   = "duty_stall"
  at     = "3500ms"
  length = "6s"
  every  = "2500ms"
  size   = 1.6
}

trouble "cut off from heads" {
  kind   = "duty_cut"
  at     = "4s"
  length = "5s"
  every  = "2200ms"
  size   = 1.5
}

trouble "holders are killed" {
  kind   = "duty_kill"
  at     = "5s"
  length = "5s"
  every  = "3s"
  down   = "1s"
}

trouble "bad weather" {
  kind   = "duty_net"
  at     = "3s"
  length = "8s"
  part   = 0.1
  size   = 2
}

trouble "a node crashes" {
  kind = "crash"
  at   = "6s"
  part = 0.17
  down = "1500ms"
}
