base = "base/shared.hcl"

day {
  title = "The head that gets four times the mean changes every second"
}

load {
  lead_every = "1s"
}

trouble "other heads lead" {
  kind = "lead_moves"
  at   = "9s"
  part = 0.5
}
