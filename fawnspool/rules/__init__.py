"""The seven rules, judged from what nodes, clients and the endpoint list saw of their own sockets. No I/O, no clock.

`history.read_history` decodes the records of a run, `judge.judge_run` says for each rule what was examined and what
broke it. A gateway's own log is never asked.
"""
