base = "base/short.hcl"

day {
  title = "Answers that are no HTTP"
}

trouble "answers that are no http" {
  kind = "garbled"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
