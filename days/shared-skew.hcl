base = "base/shared.hcl"

day {
  title = "One head gets four times the mean, another every few seconds"
}

trouble "other heads lead" {
  kind = "lead_moves"
  at   = "9s"
  part = 0.5
}
