"""The descriptors that the system allows this process, divided between the connections of a gateway."""

from __future__ import annotations

import resource

from fawnspool.connections.descriptor_limits import divide_descriptors
from fawnspool.net.descriptor_gate import DescriptorGate

_MAX_DESCRIPTORS = 1 << 20  # also where the system sets no limit


def process_descriptor_gate(shards: int) -> DescriptorGate:
    """Return a gate for all descriptors that this process may open, with nodes of so many shards."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = _MAX_DESCRIPTORS
    return DescriptorGate(divide_descriptors(min(soft_limit, _MAX_DESCRIPTORS), shards).shares)
