"""Decisions on connections: how many may be open, which one is evicted, how long each wait lasts.

Decisions on requests belong to ``fawnspool.scheduling``. Modules here do no I/O and read no clock: counts and times, in
seconds, come from the caller.
"""
