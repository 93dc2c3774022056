"""A stand-in node's responses, with its report to the gateway and the faults that befall them."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import gevent

from fawnspool.model.node import NodeBehaviour
from fawnspool.net.node_headers import NodeReport
from fawnspool.standins.node_attempt import NodeAttempt, NodeRecorder
from fawnspool.standins.node_faults import NodeFaults, ResponseFault, occurs

REPORT_FIELD = b"Fawn-Told"
MISDIRECTED = 421
TOO_EARLY = 425
_FIRST_SERVER_ERROR = 500
_PIECE_TIMEOUT_S = 30.0
_LOST_RESPONSE_GRACE_S = 1.0  # beyond the time that the sender waits
_MAX_REPORTS_REMEMBERED = 20_000
_GARBLED = b"\x16\x03\x01 what is this\r\n\r\n"
_FLIPPED_BITS = 0x41
_CUT_BYTES = 8  # announced beyond the body, so that even an empty one is cut


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """A node's response to an attempt.

    Attributes
    ----------
    overloaded
        The attempt was rejected unseen: no fault befalls that.
    reason
        Why nothing was done, for the recording.
    """

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    overloaded: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A response whose body is sent piece by piece."""

    status: int
    headers: list[tuple[bytes, bytes]]
    pieces: Iterator[bytes]
    length: int


class LoadReporter:
    """What the node reports to gateways: its load, and each volume's use.

    Parameters
    ----------
    load_fields
        Fields of the load report, in the order of the settings.
    volume_use
        Units a second of a volume everywhere; None: there is no volume meter.
    on_served
        Called with the units that were served of a volume.
    """

    def __init__(
        self,
        behaviour: NodeBehaviour,
        load_fields: tuple[str, ...],
        volume_use: Callable[[str], float | None] | None,
        on_served: Callable[[str, float], None] | None,
    ) -> None:
        self._behaviour = behaviour
        self._load_fields = load_fields
        self._volume_use = volume_use
        self._on_served = on_served
        self._units_served: dict[str, float] = {}
        self._last_reported: OrderedDict[tuple[int, str], float] = OrderedDict()

    def load_report(self, overloaded: bool = False) -> NodeReport:
        """Return a report of the load alone."""
        load = tuple(self._behaviour.load(name) for name in self._load_fields)
        return NodeReport(load=load, overloaded=overloaded)

    def served_report(self, attempt: NodeAttempt) -> NodeReport:
        """Count an attempt's units as served. Returns the report for its gateway."""
        header, volume = attempt.header, attempt.volume
        total = self._units_served.get(volume, 0.0) + header.units
        self._units_served[volume] = total
        if self._on_served is not None:
            self._on_served(volume, header.units)
        before = self._last_reported.pop((header.gateway_id, volume), None)
        served_elsewhere = 0 if before is None else max(0, round(total - before - header.units))
        self._last_reported[header.gateway_id, volume] = total
        while len(self._last_reported) > _MAX_REPORTS_REMEMBERED:
            self._last_reported.popitem(last=False)
        use = None if self._volume_use is None else self._volume_use(volume)
        return NodeReport(served_elsewhere, use, self.load_report().load)


class Responder:
    """Sends responses, some of them with faults."""

    def __init__(self, faults: NodeFaults, random: Random, reporter: LoadReporter, recorder: NodeRecorder) -> None:
        self._faults = faults
        self._random = random
        self._reporter = reporter
        self._recorder = recorder

    def send(self, attempt: NodeAttempt, response: NodeResponse | StreamedResponse) -> None:
        """Send a response. Raises OSError where the client leaves during a streamed one."""
        if isinstance(response, StreamedResponse):
            self._stream(attempt, response)
            return
        report = self._report(attempt, response)
        if response.overloaded:
            attempt.exchange.respond(response.status, [(REPORT_FIELD, report.encode())])
            self._recorder.responded(attempt, response.status, lost="", how="full")
            return
        fault = self._faults.draw_response_fault(self._random)
        if fault is ResponseFault.LOSE:
            self._lose(attempt)
            return
        if fault is None:
            headers = [*response.headers, (REPORT_FIELD, report.encode())]
            attempt.exchange.respond(response.status, headers, self._spoil(response.body))
        else:
            self._send_faulty(attempt, response, fault)
        lost = "" if fault is None else fault.value
        self._recorder.responded(attempt, response.status, lost=lost, how=response.reason)

    def _report(self, attempt: NodeAttempt, response: NodeResponse) -> NodeReport:
        if response.status < _FIRST_SERVER_ERROR and response.status not in (MISDIRECTED, TOO_EARLY):
            return self._reporter.served_report(attempt)
        return self._reporter.load_report(response.overloaded)

    def _stream(self, attempt: NodeAttempt, response: StreamedResponse) -> None:
        exchange = attempt.exchange
        report = self._reporter.served_report(attempt)
        exchange.begin(response.status, [*response.headers, (REPORT_FIELD, report.encode())], response.length)
        is_cut = occurs(self._faults.cut, self._random)
        sent_bytes = 0
        for piece in response.pieces:
            exchange.write(piece, time.monotonic() + _PIECE_TIMEOUT_S)
            sent_bytes += len(piece)
            if is_cut and sent_bytes * 2 > response.length:
                break
        exchange.finish(sent_bytes == response.length)
        self._recorder.responded(attempt, response.status)

    def _lose(self, attempt: NodeAttempt) -> None:
        """Send nothing, until the sender has stopped waiting."""
        _end_connection(attempt)
        self._recorder.responded(attempt, 0, lost=ResponseFault.LOSE.value)
        gevent.sleep(attempt.header.time_left_s + _LOST_RESPONSE_GRACE_S)

    def _send_faulty(self, attempt: NodeAttempt, response: NodeResponse, fault: ResponseFault) -> None:
        _end_connection(attempt)
        connection, body = attempt.exchange.connection, response.body
        if fault is ResponseFault.RESET:
            connection.stream.reset()
        elif fault is ResponseFault.GARBLE:
            connection.send(_GARBLED)
        elif fault is ResponseFault.CUT:
            connection.send(_plain_head(response.status, len(body) + _CUT_BYTES) + body[: len(body) // 2])
        else:
            connection.send(_plain_head(response.status, max(0, len(body) - 1)) + body + b"x")

    def _spoil(self, body: bytes) -> bytes:
        """Return the body, with a wrong byte in it where that fault is drawn."""
        if not body or not occurs(self._faults.wrong_byte, self._random):
            return body
        index = self._random.randrange(len(body))
        return body[:index] + bytes([body[index] ^ _FLIPPED_BITS]) + body[index + 1 :]


def _end_connection(attempt: NodeAttempt) -> None:
    attempt.exchange.answered = True
    attempt.exchange.connection.closing = True


def _plain_head(status: int, content_length: int) -> bytes:
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, content_length)
