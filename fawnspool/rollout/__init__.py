"""Staged roll-out of a version over a fleet's heads: plans and decisions, with no I/O and no clock."""
