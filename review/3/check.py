"""A client that sends heads without end, again and again, must not cost the gateway its life."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig  # noqa: E402 - found through the line above

SHELVES = 3
LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 256}  # the pages give a head 32 to 192 MB and 256 to 1,024
CALM_S = 3.0  # calm traffic before the bad client
BAD_S = 20.0
AFTERWARDS_S = 2.0
PIECE_BYTES = 65536
HEAD_BEGINS = b"GET /read/item HTTP/1.1\r\nHost: api.internal\r\nX-Filler: "


class BadClient:
    """One client, one connection at a time: turned away with its head that does not end, it sends the same again."""

    def __init__(self, gateway: rig.Gateway, record: rig.Record) -> None:
        self.connections = 0
        self.sent_bytes = 0
        self.answers = 0
        self._gateway = gateway
        self._record = record
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._thread.join()

    def _run(self) -> None:
        over_by = time.monotonic() + BAD_S
        noted_at = 0.0
        while time.monotonic() < over_by and not self._gateway.has_ended():
            self._send_head_until_turned_away(over_by)
            if time.monotonic() > noted_at + 1:
                noted_at = time.monotonic()
                self._note()
        self._note()

    def _send_head_until_turned_away(self, over_by: float) -> None:
        with contextlib.suppress(OSError), socket.create_connection(self._gateway.address, timeout=3) as sock:
            self.connections += 1
            try:
                sock.sendall(HEAD_BEGINS)
                while time.monotonic() < over_by:
                    sock.sendall(b"x" * PIECE_BYTES)
                    self.sent_bytes += PIECE_BYTES
            except OSError:  # turned away; what the gateway answered may still be there
                self.answers += sock.recv(PIECE_BYTES).startswith(b"HTTP/1.1 4")

    def _note(self) -> None:
        self._record.note(
            f"bad client: {self.connections} heads without end so far, {self.sent_bytes / 1e6:.0f} MB, "
            f"{self.answers} answers read; the gateway holds {self._gateway.resident_mib():.0f} MiB"
        )


def heads_without_end(record: rig.Record, has_trouble: bool) -> bool:
    shelves = [rig.Shelf(f"s-{block}", block, record) for block in range(SHELVES)]
    settings = rig.settings([rig.READ, rig.NEW_READING], [False, True], SHELVES)
    gateway = rig.start_gateway(rig.Discovery(shelves), settings, LIMITS, record)
    with rig.running(gateway):
        traffic = rig.Traffic(gateway, record, SHELVES)
        traffic.start()
        time.sleep(CALM_S)
        if has_trouble:
            bad_client = BadClient(gateway, record)
            bad_client.start()
            bad_client.stop()
        else:
            time.sleep(BAD_S)
        if not gateway.has_ended():
            time.sleep(AFTERWARDS_S)
        has_crashed = gateway.has_ended()
        traffic.stop()
    record.note(f"the gateway held {gateway.peak_mib:.0f} MiB at most, of {LIMITS['memory_mb']}")
    record.note(traffic.summary())
    if has_crashed:
        record.note("the gateway has CRASHED: " + ("killed for memory" if gateway.killed_for_memory else "it ended"))
    return not has_crashed


def test_gateway_survives_a_client_that_sends_heads_without_end() -> None:
    assert rig.run_case(heads_without_end, FOLDER) == rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(heads_without_end, FOLDER))
