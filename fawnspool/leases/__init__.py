"""Duties that one head holds at a time: votes, leases, fences, and what a holder does. No I/O, no clock, seeded."""
