"""The parameters of the model that are fitted to measurements: delays and costs, in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Params:
    """Delays and costs in seconds, and scales of what a day file names. Kept fits name them as they are here.

    Delays are one way. `jitter` is the mean of an exponential part that each message draws on top.
    """

    client_net: float = 0.0004  # from client to gateway
    node_net: float = 0.0004  # from gateway to node
    jitter: float = 0.0003
    connect: float = 0.0004  # a new connection, on top of its first message
    head_cost: float = 0.0004  # of a gateway's core for each event of a request
    node_cost: float = 0.0008  # of a node for each request, beside its work
    byte_cost: float = 1.5e-9  # for each byte of a body, at each hop
    unit_scale: float = 1.0  # true work over the work that the day file names
    places: float = 0.002  # a lookup in the catalogue
    list_net: float = 0.001  # from the endpoint service to a gateway
    cancel_seen: float = 0.01  # until a node sees that its sender has gone
    drop_seen: float = 0.025  # until a node drops what is overdue
    node_start: float = 0.6  # until a started node's process listens; nodes of one fault start in turn
    head_start: float = 1.4  # the same of a gateway's
    slow_times: float = 2.0  # a slow node's time for a unit over a fast one's
    cold_scale: float = 1.0  # the part of its power a node starts with, over the one that the day names
    pause_scale: float = 1.0  # a pause's length over the one that the day names
    class_scale: tuple[tuple[str, float], ...] = ()  # a class's time for a unit over all classes', by name
