base = "base/shared.hcl"

day {
  title = "A link flaps, then heads hear and are not heard, then are heard and do not hear"
}

trouble "flaps" {
  kind   = "heads_cut"
  at     = "3s"
  length = "4s"
  part   = 0.34
  every  = "800ms"
}

trouble "not heard" {
  kind   = "heads_mute"
  at     = "8s"
  length = "3s"
  part   = 0.34
  every  = "60s"
}

trouble "hear nothing" {
  kind   = "heads_deaf"
  at     = "12s"
  length = "3s"
  part   = 0.34
  every  = "60s"
}
