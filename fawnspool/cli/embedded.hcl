# The embedded default of `make run`: one head, three stand-in nodes in its own process, data under ./data.
head {
  listen = "127.0.0.1:8480"
  data   = "data"
}

embedded {
  nodes = 3
}

class "read" {
  aim      = "500ms"
  deadline = "5s"
  worth    = 2
}

class "write" {
  aim      = "2s"
  deadline = "10s"
  worth    = 2
  effect   = "keyed"
}

class "bulk" {
  aim      = "60s"
  deadline = "120s"
  worth    = 1
}

plan "basic" {
  rate   = 1000
  weight = 1
}

volume "demo" {
  plan = "basic"
}
