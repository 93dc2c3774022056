base = "moves.hcl"

day {
  title     = "Objects move, and heads learn of it by a miss only"
  map_watch = false
}
