"""The memory of nodes' answers: taken before they are read, and given back whatever becomes of them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from fawnspool.connections.resource_budget import USUAL_ANSWER_BYTES
from fawnspool.standins.platform import ShelfRequest
from tests.e2e.relayrig import RelayRig, headers, request_bytes
from tests.e2e.rig import wait_for

ANSWER_BYTES = 200_000
LARGE_ANSWERS = 3  # for which there is memory beside the reserve


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    rig = RelayRig(tmp_path)
    rig.program.resource_limits.check()  # divides the memory for the list of the rig
    account(rig).total_bytes = LARGE_ANSWERS * ANSWER_BYTES * 3 // 2 + USUAL_ANSWER_BYTES
    yield rig
    rig.stop()


def account(rig: RelayRig) -> Any:
    assert rig.core.answer_memory is not None
    return rig.core.answer_memory.account


def answer_with(rig: RelayRig, sent_bytes: int, framing: bytes = b"Content-Length: %d" % ANSWER_BYTES) -> None:
    """Let the nodes send so many bytes of an answer."""

    def script(request: ShelfRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + b"x" * sent_bytes

    for shelf in rig.shelfs:
        shelf.script = script


def test_answer_is_counted_until_the_client_has_it(rig: RelayRig) -> None:
    answer_with(rig, ANSWER_BYTES)
    response = rig.client().ask("GET", "/read", **headers("r1"))
    assert response.status == 200 and len(response.data) == ANSWER_BYTES  # type: ignore[attr-defined]
    wait_for(lambda: account(rig).used_bytes == 0)
    assert account(rig).peak_bytes == ANSWER_BYTES and not account(rig).held


@pytest.mark.parametrize("sent_bytes", [10, 100_000])
def test_answers_that_stop_in_the_middle_give_back_their_memory(rig: RelayRig, sent_bytes: int) -> None:
    answer_with(rig, sent_bytes)
    socks = [rig.raw(request_bytes("/read", headers(f"r{k}", wait="600", shard=k % 2))) for k in range(12)]
    for sock in socks:
        assert sock.recv(4096)[9:10] == b"5"
    wait_for(lambda: account(rig).used_bytes == 0 and not account(rig).held)
    assert account(rig).peak_bytes <= account(rig).total_bytes


def test_client_that_leaves_gives_back_the_memory_of_its_answer(rig: RelayRig) -> None:
    answer_with(rig, 1000)
    sock = rig.raw(request_bytes("/read", headers("r1")))
    wait_for(lambda: account(rig).used_bytes == ANSWER_BYTES)
    sock.close()
    wait_for(lambda: account(rig).used_bytes == 0 and not account(rig).held)


def test_answer_without_a_length_is_counted_as_it_grows(rig: RelayRig) -> None:
    for shelf in rig.shelfs:
        chunk = b"%x\r\n%s\r\n" % (ANSWER_BYTES // 4, b"x" * (ANSWER_BYTES // 4))
        shelf.script = lambda request, chunk=chunk: (  # type: ignore[misc]
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + 4 * chunk + b"0\r\n\r\n"
        )
    response = rig.client().ask("GET", "/read", **headers("r1"))
    assert len(response.data) == ANSWER_BYTES  # type: ignore[attr-defined]
    assert account(rig).peak_bytes >= ANSWER_BYTES
    wait_for(lambda: account(rig).used_bytes == 0)


def test_small_answers_come_while_the_memory_for_long_ones_is_used_up(rig: RelayRig) -> None:
    """Guards against nodes that stop in the middle of long answers and keep everybody else's back."""
    answer_with(rig, 1000)
    socks = [rig.raw(request_bytes("/read", headers(f"r{k}"))) for k in range(2 * LARGE_ANSWERS)]
    wait_for(lambda: account(rig).has_waiters or account(rig).used_bytes >= ANSWER_BYTES)
    rig.shelfs[1].script = None
    began = gevent.get_hub().loop.now()
    assert rig.client().ask("GET", "/read", **headers("small", shard=1)).status == 200
    assert gevent.get_hub().loop.now() - began < 0.3
    for sock in socks:
        sock.close()
