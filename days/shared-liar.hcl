base = "base/shared.hcl"

day {
  title = "One head says that every node is dead, then that a silent one is well"
}

trouble "all are dead" {
  kind   = "head_lies"
  at     = "3s"
  length = "6s"
  part   = 0.17
  size   = 0
}

trouble "a node is silent" {
  kind   = "answers_lost"
  at     = "11s"
  length = "5s"
  part   = 0.17
  size   = 1
}

trouble "all are well" {
  kind   = "head_lies"
  at     = "11s"
  length = "5s"
  part   = 0.17
  size   = 1
}
