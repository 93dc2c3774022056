"""Extent map: an immutable, versioned map from extents to shards, and the rules to use it while it may be stale.

Nothing in this package does I/O or reads a clock.
"""
