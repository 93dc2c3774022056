base = "base/short.hcl"

day {
  title = "Answers are lost while probes pass"
}

trouble "answers are lost while probes pass" {
  kind = "answers_lost"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.4
}
