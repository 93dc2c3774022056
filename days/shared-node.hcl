base = "base/shared.hcl"

day {
  title = "A node takes connections and loses its answers, for all heads, then is well again"
}

trouble "a node is silent" {
  kind   = "answers_lost"
  at     = "5s"
  length = "6s"
  part   = 0.17
  size   = 1
}
