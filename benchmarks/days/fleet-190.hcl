# The bad day's troubles on a fleet at full size, for the model.
base = "../../days/bad-day.hcl"

day {
  title  = "A fleet at full size on a bad day: for the model only"
  length = "60s"
  heads  = 190
  nodes  = 45
}

plan "basic" {
  rate        = 3
  limit       = 24
  limit_depth = 192
  limit_slack = 19
}

plan "priority" {
  rate    = 6
  reserve = 6
}

volumes "basic" {
  count = 160
  heads = 12
}

volumes "priority" {
  count = 100
  heads = 12
}

load {
  rate = 600
}

clients {
  answer_margin = "40ms"
}
