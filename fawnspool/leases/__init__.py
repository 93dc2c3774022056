"""Leases on roles that one gateway holds at a time: ballots, lease holders, fencing tokens and the work of a holder.

Nothing here does I/O or reads a clock; randomness comes from seeds.
"""
