# Days on which heads share limits: six heads, volumes that work through all of them, and one head of each gets four
# times the mean (skew 2 among six). Two volumes are asked for about as much as their limit, the others for less.
base = "short.hcl"

day {
  length = "18s"
  heads  = 6
  nodes  = 6
}

# Each of these six asks for 0.5 to 1.2 of its limit, as volumes differ by a draw.
plan "basic" {
  rate        = 20
  limit       = 20
  limit_depth = 60
  limit_slack = 8
}

volumes "basic" {
  count = 6
  heads = 6
  nodes = 3
}

volumes "priority" {
  count = 2
  heads = 6
  nodes = 3
}

load {
  rate       = 70
  skew       = 2
  lead_every = "4s"
}

fleet {
  unit_time = "10ms"
}

clients {
  answer_margin = "100ms"
}

shared {
  every = "125ms"
  fades = "3s"
}
