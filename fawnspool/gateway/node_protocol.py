"""The project's own wire to its nodes (docs/node-wire.md), as the attempts speak it. No I/O, no choices."""

from __future__ import annotations

import time

from fawnspool.gateway.attempt_results import Ending
from fawnspool.gateway.attempts import Heard
from fawnspool.gateway.request_state import Attempt, Pending
from fawnspool.net.http import Status, request_bytes
from fawnspool.net.node_headers import CALL, TOLD, Call, read_told
from fawnspool.scheduling.interface import Settings

_FINAL = frozenset((200, 201, 204, 206, 304, 404, 412, 416, 421, 425))  # of a request that the node understood


class NodeSpeech:
    """Speaks for head `number`; answers of over `hold_most` bytes are passed on as they come."""

    streams = True

    def __init__(self, number: int, settings: Settings, hold_most: int) -> None:
        self.number, self.settings, self.hold_most = number, settings, hold_most

    def head(self, pending: Pending, attempt: Attempt) -> bytes:
        req = pending.req
        cls = self.settings.classes[req.class_index]
        call = Call(
            self.number,
            req.id,
            attempt.number,
            req.class_index,
            req.units,
            req.extent,
            cls.idempotence.value,
            cls.deduplication_scope.value,
            cls.deduplication_window_s,
            max(0.0, attempt.deadline - time.monotonic()),
            pending.op,
            pending.idem,
        )
        return request_bytes(
            pending.method, pending.target, b"node", [(CALL, call.pack()), *pending.forward], pending.body.length
        )

    def told(self, pending: Pending, status: Status) -> Heard:
        told, used = read_told(status.headers.get(TOLD)), None
        if told.use is not None:
            rate = self.settings.plans[pending.req.plan_index].rate
            used = told.use / rate if rate > 0 else None
        return Heard(told.others, used, told.load)

    def ending(self, status: Status) -> Ending:
        if status.code == 503 and read_told(status.headers.get(TOLD)).full:
            return Ending.TURNED_AWAY
        return Ending.ANSWERED if status.code in _FINAL else Ending.NODE_ERROR
