base = "base/short.hcl"

day {
  title = "A node is back cold on the same port, unnoticed"
}

trouble "a node is back cold on the same port, unnoticed" {
  kind = "unlisted_restart"
  at = "2s"
  part = 0.34
  down = "300ms"
}
