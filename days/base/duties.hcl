# Days on which heads hold duties: five heads, three of them vote, two of six cells are drained under load.
base = "short.hcl"

day {
  length = "16s"
  heads  = 5
  nodes  = 6
}

load {
  objects = 120
}

clients {
  answer_margin = "100ms"
}

duties {
  voters = [0, 1, 2]
  lease  = "1s"

  duty "drain" {
    shards = 12
    moves  = 100
    bytes  = "64MiB"
  }

  duty "compare" {
    shards = 2
    every  = "3s"
  }
}

trouble "two cells are drained" {
  kind = "drain"
  at   = "2500ms"
  part = 0.34
}
