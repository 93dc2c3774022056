"""Settings that gossiping gateways must share.

Every message carries a fingerprint of them. A message from a gateway with other settings would be misread, so it is
dropped as foreign.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

import xxhash

REGISTRARS_PER_VOLUME = 2  # two, as one may be down or cut off
MAX_VOLUMES_PER_ROUND = 4  # volumes that a gateway reports, and queries that it answers as a registrar; bounds traffic


@dataclass(frozen=True)
class GossipSettings:
    """Gossip settings of the fleet.

    Parameters
    ----------
    gateway_count
        Gateways in the fleet, numbered from 0.
    interval_s
        Seconds between two rounds.
    evidence_ttl_s
        Seconds after which a finding about a node expires.
    max_ejected_fraction
        Fraction of the nodes that may be ejected on others' evidence.
    quorum_fraction
        Fraction of the gateways that must find a node bad; set it above the fraction that may report falsely at once.
    """

    gateway_count: int
    interval_s: float = 0.25
    evidence_ttl_s: float = 4.0
    max_ejected_fraction: float = 0.25
    quorum_fraction: float = 0.25

    @cached_property
    def fingerprint(self) -> int:
        """Checksum of the settings that must agree; messages carry it, so its computation must not change."""
        return zlib.crc32(repr((self.gateway_count, self.interval_s, self.evidence_ttl_s)).encode())

    def registrars(self, volume: int) -> tuple[int, ...]:
        """Return the registrars of a volume's participants; all gateways derive the same ones from its number."""
        volume_hash = xxhash.xxh3_64_intdigest(volume.to_bytes(8, "big"))
        first = volume_hash % self.gateway_count
        step = 1 + (volume_hash >> 32) % max(1, self.gateway_count - 1)
        return tuple(dict.fromkeys((first + n * step) % self.gateway_count for n in range(REGISTRARS_PER_VOLUME)))
