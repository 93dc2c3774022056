base = "base/duties.hcl"

day {
  title = "Holders are heard and do not hear; then datagrams are lost, doubled and late"
}

trouble "heard, not hearing" {
  kind   = "duty_one_way"
  at     = "3500ms"
  length = "4s"
  every  = "2500ms"
  size   = 2
}

trouble "bad weather" {
  kind   = "duty_net"
  at     = "8s"
  length = "5s"
  part   = 0.2
  size   = 3
}
