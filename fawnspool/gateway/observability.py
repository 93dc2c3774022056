"""The outputs of a gateway's core: counters, log, decision recording and traces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fawnspool.telemetry.counters import GatewayCounters
from fawnspool.telemetry.logs import EventLogger

if TYPE_CHECKING:  # only a gateway that records or traces needs these and their libraries
    from fawnspool.records.decision_recording import Recorder
    from fawnspool.telemetry.traces import Traces


@dataclass(frozen=True)
class Observability:
    """The outputs of one gateway; without a recorder or traces it does not record or trace."""

    metrics: GatewayCounters
    log: EventLogger
    recorder: Recorder | None = None
    traces: Traces | None = None
