"""Where extents lie: an immutable, versioned map, and what a head does when it may be old. No I/O, no clock."""
