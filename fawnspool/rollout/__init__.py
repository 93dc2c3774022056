"""Staged rollout of a version over a fleet's gateways: plans and decisions. No I/O, no clock."""
