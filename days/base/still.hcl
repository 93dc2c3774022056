base = "short.hcl"

day {
  title = "Nothing goes wrong"
}
