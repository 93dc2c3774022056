"""A shelf's answer that never ends must not keep the gateway from answering the requests that it holds."""

from __future__ import annotations

import contextlib
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig  # noqa: E402 - found through the line above

SHELVES = 3
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
CALM_S = 3.0  # calm traffic before the spoilt answer
SPOILT_S = 15.0  # so long does the shelf go on with it, unless the gateway ends the connection
AFTERWARDS_S = 3.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
INTERIMS_IN_PIECE = 1400
BYTES_PER_S = 100e6  # of the spoilt answer: less than a link of 1 Gbit/s


class EndlessAnswer:
    """Spoils one answer: interim answers (1xx) follow one another, and the final one does not come."""

    def __init__(self, record: rig.Record) -> None:
        self.spoilt_id = ""
        self._record = record

    def answer(self, received: rig.ShelfRequest, sock: socket.socket) -> bool:
        if self.spoilt_id:
            return False
        self.spoilt_id = received.id
        self._record.note(f"{received.shelf} answers {received.id} with interim answers that do not end")
        piece = INTERIM * INTERIMS_IN_PIECE
        began_at = time.monotonic()
        sent_bytes = 0
        with contextlib.suppress(OSError):
            while time.monotonic() - began_at < SPOILT_S:
                sock.sendall(piece)
                sent_bytes += len(piece)
                time.sleep(max(0.0, began_at + sent_bytes / BYTES_PER_S - time.monotonic()))
        after_s = time.monotonic() - began_at
        self._record.note(f"{received.shelf} has sent {sent_bytes / 1e6:.0f} MB of them in {after_s:.2f} s, and stops")
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        return True


def one_spoilt_answer(record: rig.Record, has_trouble: bool) -> bool:
    shelves = [rig.Shelf(f"s-{block}", block, record) for block in range(SHELVES)]
    settings = rig.settings([rig.READ, rig.NEW_READING], [False, True], SHELVES)
    gateway = rig.start_gateway(rig.Discovery(shelves), settings, LIMITS, record)
    with rig.running(gateway):
        traffic = rig.Traffic(gateway, record, SHELVES)
        traffic.start()
        time.sleep(CALM_S)
        endless = EndlessAnswer(record)
        if has_trouble:
            shelves[0].behaviour = endless.answer
        time.sleep(SPOILT_S + AFTERWARDS_S)
        traffic.stop()
    lost = [answer.id for answer in traffic.answers if answer.is_lost()]
    others = [ident for ident in lost if ident != endless.spoilt_id]
    record.note(traffic.summary())
    record.note(f"lost: {' '.join(lost) or 'none'}; {len(others)} of them were not answered by the spoilt answer")
    return not lost


def test_requests_are_answered_while_a_shelf_sends_an_answer_that_never_ends() -> None:
    assert rig.run_case(one_spoilt_answer, FOLDER) == rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(one_spoilt_answer, FOLDER))
