base = "base/short.hcl"

day {
  title = "Kept connections close under requests"
}

trouble "kept connections close under requests" {
  kind = "hang_ups"
  at = "2s"
  length = "4s"
  part = 0.34
  size = 0.3
}
