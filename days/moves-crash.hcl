base = "moves.hcl"

day {
  title = "Objects move while nodes crash and the map service is away"
}

trouble "nodes crash" {
  kind = "crash"
  at   = "3s"
  part = 0.34
  down = "1500ms"
}

trouble "the map service is away" {
  kind   = "map_gone"
  at     = "5s"
  length = "1500ms"
}
