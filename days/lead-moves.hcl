base = "base/short.hcl"

day {
  title = "The busiest heads change at one stroke"
}

trouble "the busiest heads change at one stroke" {
  kind = "lead_moves"
  at = "3s"
  part = 0.6
}
