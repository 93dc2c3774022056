"""Connection management: how many connections may be open, which one is evicted, and how long each wait lasts.

Requests are scheduled by ``fawnspool.scheduling``. The modules here do no I/O and read no clock: the caller passes
counts, and times in seconds.
"""
