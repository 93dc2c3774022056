base = "../base/hold.hcl"

day {
  title = "Two nodes die and come back cold"
}

trouble "two nodes die" {
  kind = "crash"
  at   = "6s"
  part = 0.25
  down = "4s"
}
