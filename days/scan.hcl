base = "base/short.hcl"

day {
  title = "Reads of many objects once"
}

trouble "reads of many objects once" {
  kind = "scan"
  at = "2s"
  length = "4s"
  part = 0.6
}
