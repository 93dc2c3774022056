base = "../base/hold.hcl"

day {
  title = "Heads restart one after another"
}

trouble "heads restart" {
  kind   = "head_roll"
  at     = "6s"
  length = "9s"
  down   = "1500ms"
}
