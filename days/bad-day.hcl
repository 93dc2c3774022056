base = "base/short.hcl"

day {
  title  = "A bad day: ten kinds of trouble, several at once"
  length = "36s"
  heads  = 3
  nodes  = 10
}

volumes "basic" {
  count = 14
}

volumes "priority" {
  count = 8
}

load {
  rate = 170
}

clients {
  answer_margin = "100ms"
}

trouble "another program on four nodes" {
  kind = "neighbour"
  at = "3s"
  length = "9s"
  part = 0.4
  size = 0.5
  every = "1500ms"
}

trouble "a partner surges" {
  kind = "plan_burst"
  at = "5s"
  length = "5s"
  plan = "basic"
  size = 3
}

trouble "answers lost at two nodes" {
  kind = "answers_lost"
  at = "9s"
  length = "5s"
  part = 0.2
  size = 0.3
}

trouble "two nodes die and come back cold" {
  kind = "crash"
  at = "11s"
  part = 0.2
  down = "3s"
}

trouble "the list is out of reach" {
  kind = "list_gone"
  at = "13s"
  length = "6s"
}

trouble "one head after the other restarts" {
  kind = "head_roll"
  at = "16s"
  length = "6s"
  part = 0.3
  down = "500ms"
}

trouble "three nodes drain and are replaced" {
  kind = "preempt"
  at = "21s"
  length = "2s"
  part = 0.3
  size = 0.5
  every = "1s"
  down = "2s"
}

trouble "heads stand still" {
  kind = "head_stall"
  at = "24s"
  length = "5s"
  part = 0.7
  size = 1.2
  every = "2s"
}

trouble "clients with little time left" {
  kind = "impatient"
  at = "26s"
  length = "5s"
  part = 0.5
  size = 0.5
}

trouble "half the nodes pause" {
  kind = "pauses"
  at = "29s"
  length = "5s"
  part = 0.5
  size = 250
  every = "1s"
}
