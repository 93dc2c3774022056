# Days on which the fleet model is held against the real heads: 3 heads, 8 nodes.
base = "short.hcl"

day {
  length = "24s"
  heads  = 3
  nodes  = 8
}

volumes "basic" {
  count = 10
}

volumes "priority" {
  count = 6
}

load {
  rate = 130
}

clients {
  answer_margin = "100ms"
}
