"""Decisions on connections, which are not decisions on requests: how many, whose makes room, when the last one ends."""
