# What every short day shares; a day names it as its base and adds its trouble.
day {
  length = "9s"
  heads  = 2
  nodes  = 6
  seed   = 1
  peers  = true
}

class "tile-read" {
  aim        = "400ms"
  deadline   = "2s"
  worth      = 2
  late_worth = 0.2
}

class "track-write" {
  aim        = "800ms"
  deadline   = "4s"
  worth      = 2
  late_worth = 0.1
  effect     = "keyed"
  group      = "cell"
  window     = "6s"
}

class "log-write" {
  aim        = "750ms"
  deadline   = "4s"
  worth      = 3
  late_worth = 0.1
  effect     = "unsafe"
}

class "area-export" {
  aim        = "2500ms"
  deadline   = "6s"
  worth      = 1
  late_worth = 0.3
}

class "journal" {
  aim        = "800ms"
  deadline   = "3s"
  worth      = 1
  late_worth = 0.1
  ordered    = true
}

plan "basic" {
  rate         = 10
  weight       = 1
  worth_factor = 0.8
  limit        = 60
  limit_depth  = 64
  limit_slack  = 8
}

plan "priority" {
  rate    = 20
  reserve = 20
  weight  = 2
}

volumes "basic" {
  count = 6
  heads = 2
  nodes = 2
}

volumes "priority" {
  count = 4
  heads = 2
  nodes = 3
}

traffic "tile-read" {
  share  = 0.5
  size   = "96KiB"
  run    = 4
  fresh  = 0.3
  ranged = 0.3
}

traffic "track-write" {
  share  = 0.2
  writes = true
  size   = "128KiB"
}

traffic "log-write" {
  share  = 0.12
  writes = true
  size   = "96KiB"
}

traffic "area-export" {
  share = 0.1
  size  = "400KiB"
}

traffic "journal" {
  share = 0.08
  run   = 3
  size  = "64KiB"
}

load {
  rate    = 90
  retries = 1
}

fleet {
  cores      = 2
  unit_time  = "20ms"
  slow_share = 0.3
  cold_from  = 0.3
  warm_after = "8s"
}

nodes {
  drain_grace     = "250ms"
  cold_fall       = "2s"
  cold_multiple   = 2
  cold_capacity   = 0.25
  cold_warm_after = "10s"
  cold_units      = 16
}

attempts {
  most               = 4
  settle_after_doubt = "300ms"
}

clients {
  answer_margin = "40ms"
}

service {
  meter = "1s"
}

