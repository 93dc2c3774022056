base = "base/short.hcl"

day {
  title = "Answers break off in the middle"
}

trouble "answers break off in the middle" {
  kind = "half_answers"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
