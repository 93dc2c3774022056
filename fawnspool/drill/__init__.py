"""Plays a day on real processes: heads, stand-in nodes and clients on loopback; gathers records, judges, reports."""
