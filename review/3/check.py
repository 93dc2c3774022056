"""Clients that send hundreds of requests at once must not cost the gateway its life."""

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
LIMITS = {"cores": 1.0, "memory_mb": 128, "sockets": 1024}  # the pages give a head 32 to 192 MB and 256 to 1,024
CALM_S = 3.0  # calm traffic before the bad clients
AFTERWARDS_S = 8.0
BAD_CLIENTS = 300  # under a third of the descriptors
REQUESTS_AT_ONCE = 600  # of each: hundreds, and none is longer than the pages allow
BODY_BYTES = 65536
BAD_CLIENT_STAYS_S = 3.0
READ_MS = rig.READ_TIMEOUT_MS


def requests_at_once(number: int) -> bytes:
    """Return what one bad client sends: a write and many reads, each as the protocol wants it."""
    first = rig.request_headers(
        f"b{number:04x}{0:011x}", number % SHELVES, READ_MS, **{"Idempotency-Key": f"k{number}"}
    )
    parts = [rig.request("PUT", "/new-reading/item", first, b"r" * BODY_BYTES)]
    for count in range(1, REQUESTS_AT_ONCE):
        headers = rig.request_headers(f"b{number:04x}{count:011x}", (number + count) % SHELVES, READ_MS)
        parts.append(rig.request("GET", "/read/item", headers))
    return b"".join(parts)


class BadClient:
    """Connects, sends all its requests at once, and reads what comes back."""

    def __init__(self, gateway: rig.Gateway, number: int) -> None:
        self.data = requests_at_once(number)
        self.answers = 0
        self._gateway = gateway
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        with contextlib.suppress(OSError), socket.create_connection(self._gateway.address, timeout=5) as sock:
            until = time.monotonic() + BAD_CLIENT_STAYS_S
            sock.sendall(self.data)
            while time.monotonic() < until and (data := sock.recv(262_144)):
                self.answers += data.count(b"HTTP/1.1 ")


def requests_in_floods(record: rig.Record, has_trouble: bool) -> bool:
    shelves = [rig.Shelf(f"s-{block}", block, record, work_s=0.05) for block in range(SHELVES)]
    settings = rig.settings([rig.READ, rig.NEW_READING], [False, True], SHELVES)
    gateway = rig.start_gateway(rig.Discovery(shelves), settings, LIMITS, record)
    with rig.running(gateway):
        bad_clients = [BadClient(gateway, number) for number in range(BAD_CLIENTS)]
        traffic = rig.Traffic(gateway, record, SHELVES)
        traffic.start()
        time.sleep(CALM_S)
        if has_trouble:
            record.note(
                f"{BAD_CLIENTS} bad clients send {REQUESTS_AT_ONCE} requests each, {len(bad_clients[0].data)} bytes"
            )
            for bad_client in bad_clients:
                bad_client.thread.start()
        over_by = time.monotonic() + AFTERWARDS_S
        while time.monotonic() < over_by and not gateway.has_ended():
            time.sleep(0.05)
        has_crashed = gateway.has_ended()
        traffic.stop()
    record.note(f"the gateway held {gateway.peak_mib:.0f} MiB at most, of {LIMITS['memory_mb']}")
    record.note(f"bad clients have {sum(bad_client.answers for bad_client in bad_clients)} answers")
    record.note(traffic.summary())
    if has_crashed:
        record.note("the gateway has CRASHED: " + ("killed for memory" if gateway.killed_for_memory else "it ended"))
    return not has_crashed


def test_gateway_survives_clients_that_send_hundreds_of_requests_at_once() -> None:
    assert rig.run_case(requests_in_floods, FOLDER) == rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(requests_in_floods, FOLDER))
