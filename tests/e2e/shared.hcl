base = "../../days/base/shared.hcl"

day {
  title  = "For tests: short, and more is asked of volumes than their limits allow"
  length = "8s"
}

load {
  rate = 130
}

trouble "other heads lead" {
  kind = "lead_moves"
  at   = "4s"
  part = 0.5
}
