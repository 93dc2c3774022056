"""Kinds of the faults that a day may script, as its `trouble` blocks name them, by what they hit."""

from __future__ import annotations

NODE_FAULTS = (
    "slow",
    "neighbour",
    "pauses",
    "crash",
    "preempt",
    "ageing",
    "answers_lost",
    "resets",
    "refused",
    "half_answers",
    "garbled",
    "wrong_lengths",
    "hang_ups",
    "node_errors",
    "wrong_bytes",
    "unlisted_restart",
)
LIST_FAULTS = ("list_gone", "list_late")
TRAFFIC_FAULTS = ("burst", "plan_burst", "hot_volumes", "scan", "lead_moves", "impatient", "leavers")
GATEWAY_FAULTS = ("head_roll", "head_stall", "head_kill")
MAP_FAULTS = ("moves", "map_gone")
LINK_FAULTS = ("heads_cut", "heads_deaf", "heads_mute", "bad_net", "head_lies")
LEASE_FAULTS = (
    "drain",
    "duty_kill",
    "duty_stall",
    "duty_cut",
    "duty_one_way",
    "duty_nodes",
    "duty_voters",
    "duty_lost",
    "duty_net",
    "duty_quiet",
    "duty_term",
)
FAULT_KINDS = LEASE_FAULTS + LINK_FAULTS + NODE_FAULTS + LIST_FAULTS + TRAFFIC_FAULTS + GATEWAY_FAULTS + MAP_FAULTS
