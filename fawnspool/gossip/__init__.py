"""Gossip between gateways: who serves a volume, how much it is used, and evidence about nodes.

Nothing here does I/O or reads a clock; randomness comes from seeds. Nothing here is needed for safety: without messages
from other gateways, a gateway uses an equal part of each limit, and its own evidence about nodes.
"""
