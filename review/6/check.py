"""Case 6: with sixteen times the shelfs, kept connections to shelfs leave no descriptor for clients' connections."""

from __future__ import annotations

import asyncio
import random
import resource
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig_2 import (  # noqa: E402
    ANSWER_GRACE_S,
    AREA_EXPORT,
    HELD,
    TROUBLE,
    Case,
    Discovery,
    Gateway,
    Shelf,
    read_message,
    request_bytes,
    run_case,
    settings,
)

USUAL_SHELFS = 16
SHELFS = 16 * USUAL_SHELFS if TROUBLE else USUAL_SHELFS
DESCRIPTORS = 256
CLIENTS = DESCRIPTORS // 3  # with a request each at most: clients hold at most a third of the descriptors
EARLY_CLIENTS = 24
PAUSE_S = 0.04  # between two requests of a client, in the mean
TIMEOUT_MS = 2000
SERVICE_S = 0.25
EARLY_FOR_S = 12.0
ALL_FOR_S = 12.0


class Client:
    """A client that keeps its connection and has one request at a time."""

    def __init__(self, case: Case, gateway: Gateway, number: int) -> None:
        self.case, self.gateway, self.number = case, gateway, number
        self.random = random.Random(number)
        self.sent = self.answered = self.lost = self.shut = 0
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until: float) -> None:
        """Send requests until the time given (monotonic seconds)."""
        while time.monotonic() < until:
            await self._ask()
            await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))
        self._close()

    async def _ask(self) -> None:
        """Send a request, and once more on a new connection if the gateway ended a kept one under it."""
        ident = f"{self.number:04x}{self.sent:012x}"
        shard = self.random.randrange(SHELFS)
        raw = request_bytes(ident, "/area-export", shard, TIMEOUT_MS, volume=f"{shard:016x}")
        self.sent += 1
        until = time.monotonic() + TIMEOUT_MS / 1000 + ANSWER_GRACE_S
        while True:
            is_new = self.connection is None or self.connection[0].at_eof()
            if is_new:
                self._close()
                self.connection = await asyncio.open_connection("127.0.0.1", self.gateway.port)
            assert self.connection is not None
            reader, writer = self.connection
            writer.write(raw)
            sent_at = self.case.record.note("sent", id=ident, shard=shard, new_connection=int(is_new))
            try:
                answer = await asyncio.wait_for(read_message(reader), until - time.monotonic())
            except TimeoutError:
                self.lost += 1
                waited = round(time.monotonic() - sent_at, 3)
                self.case.broken(f"lost: {ident} ({TIMEOUT_MS} ms) has no answer after {waited} s")
                self._close()
                return
            except (ConnectionError, asyncio.IncompleteReadError):
                answer = None
            if answer is not None:
                break
            self.case.record.note("ended", id=ident, new_connection=int(is_new))
            self._close()
            if is_new:  # closed unread, as far as the client can see
                self.shut += 1
                return
        self.answered += 1
        self.case.record.note("answered", id=ident, status=answer.status)
        if answer.headers.get("connection", "") == "close":
            self._close()

    def _close(self) -> None:
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None


async def play(case: Case) -> None:
    """Let some clients use all shelfs, then let the others come too."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    shelfs = [await Shelf(case.record, f"s-{block}", block).start() for block in range(SHELFS)]
    for shelf in shelfs:
        shelf.service_s = SERVICE_S
    discovery = await Discovery(case.record, shelfs).start()
    gateway = case.gateway(settings([AREA_EXPORT], SHELFS), sockets=DESCRIPTORS)
    await gateway.start(discovery)
    began_at = time.monotonic()
    clients = [Client(case, gateway, number) for number in range(CLIENTS)]
    until = began_at + EARLY_FOR_S + ALL_FOR_S
    early = [asyncio.create_task(client.run(until)) for client in clients[:EARLY_CLIENTS]]
    await asyncio.sleep(EARLY_FOR_S)
    case.record.note("more_clients", descriptors=gateway.descriptors(), of=DESCRIPTORS)
    late = [asyncio.create_task(client.run(until)) for client in clients[EARLY_CLIENTS:]]
    await asyncio.gather(*early, *late)
    for name, group in (("early", clients[:EARLY_CLIENTS]), ("late", clients[EARLY_CLIENTS:])):
        totals = {
            field: sum(getattr(client, field) for client in group) for field in ("sent", "answered", "lost", "shut")
        }
        case.record.note("total", clients=name, **totals)
        print(f"{name} clients: {len(group)}, {totals}")
    print(f"descriptors of the gateway: {gateway.descriptors()} of {DESCRIPTORS}")
    for shelf in shelfs:
        shelf.stop()


def test_all_clients_are_answered_with_sixteen_times_the_shelfs() -> None:
    assert run_case(play, HERE) == HELD


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
