base = "base/short.hcl"

day {
  title = "A head is killed with writes out; clients try another"
}

trouble "a head is killed with writes out" {
  kind = "head_kill"
  at = "2s"
  part = 0.5
  down = "1s"
}
