base = "base/short.hcl"

day {
  title = "Answers that have not the length they name"
}

trouble "answers of a wrong length" {
  kind = "wrong_lengths"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
