base = "base/shared.hcl"

day {
  title = "Cuts, stops, kills and bad weather between heads at once"
}

trouble "half is cut off" {
  kind   = "heads_cut"
  at     = "4s"
  length = "8s"
  part   = 0.5
  every  = "3s"
}

trouble "stand still" {
  kind   = "head_stall"
  at     = "5s"
  length = "7s"
  part   = 0.34
  size   = 1.2
  every  = "2s"
}

trouble "killed" {
  kind = "head_kill"
  at   = "8s"
  part = 0.34
  down = "300ms"
}

trouble "bad weather" {
  kind   = "bad_net"
  at     = "3s"
  length = "10s"
  part   = 0.15
  size   = 3
}
