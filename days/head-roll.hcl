base = "base/short.hcl"

day {
  title = "Heads restart one after the other"
}

trouble "heads restart one after the other" {
  kind = "head_roll"
  at = "2s"
  length = "4s"
  part = 0.5
  down = "500ms"
}
