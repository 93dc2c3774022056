head {
  listen = "127.0.0.1:30029"
  data = "head-0"
  heads = 2
  seed = 100
  record = "module-0.mrec"
  log = "json"
  peer_listen = "127.0.0.1:20738"
}
class "tile-read" {
  aim = "400000us"
  deadline = "2000000us"
  worth = 2.0
  late_worth = 0.2
}
class "track-write" {
  aim = "800000us"
  deadline = "4000000us"
  worth = 2.0
  effect = "keyed"
  window = "6000000us"
}
class "log-write" {
  aim = "750000us"
  deadline = "4000000us"
  worth = 3.0
  effect = "unsafe"
}
class "area-export" {
  aim = "2500000us"
  deadline = "6000000us"
  late_worth = 0.3
}
class "journal" {
  aim = "800000us"
  deadline = "3000000us"
  ordered = true
}
plan "basic" {
  rate = 10.0
  worth_factor = 0.8
  limit = 60.0
  limit_depth = 64.0
  limit_slack = 8.0
}
plan "priority" {
  rate = 20.0
  reserve = 20.0
  weight = 2.0
}
volume "basic-0" {
  plan = "basic"
  heads = 2
}
volume "basic-1" {
  plan = "basic"
  heads = 2
}
volume "basic-2" {
  plan = "basic"
  heads = 2
}
volume "basic-3" {
  plan = "basic"
  heads = 2
}
volume "basic-4" {
  plan = "basic"
  heads = 2
}
volume "basic-5" {
  plan = "basic"
  heads = 2
}
volume "priority-0" {
  plan = "priority"
  heads = 2
}
volume "priority-1" {
  plan = "priority"
  heads = 2
}
volume "priority-2" {
  plan = "priority"
  heads = 2
}
volume "priority-3" {
  plan = "priority"
  heads = 2
}
peer "0" {
  address = "127.0.0.1:20738"
}
peer "1" {
  address = "127.0.0.1:14556"
}
list {
  address = "127.0.0.1:33179"
  call_timeout = "1000000us"
}
catalogue {
  address = "127.0.0.1:33175"
}
nodes {
  cells = 6
  cold_warm_after = "10000000us"
}
attempts {
  settle_after_doubt = "300000us"
}
clients {
  answer_margin = "40000us"
}
service {
  meter = "1000000us"
}
