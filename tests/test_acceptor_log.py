"""An acceptor's votes on disk: what a restarted process reads, and which files it does not use."""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks.duties_walks import terms
from fawnspool.gateway.acceptor_log import FILE_NAME, AcceptorLog
from fawnspool.gateway.acceptor_runner import AcceptorRunner
from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import AcceptorMemory, LeaseMember, PersistVotes, SendLeaseMessage, VoteRecord
from fawnspool.leases.ballot import Ballot
from fawnspool.leases.messages import BallotEntry, LeaseMessage, LeaseMessageType
from tests.e2e.rig import wait_for

SETTINGS = terms(5, 3, 8)


def vote(role: int, token: int, incarnation: int) -> PersistVotes:
    return PersistVotes((VoteRecord(role, token, incarnation),))


def test_a_restart_reads_all_stored_votes_except_a_torn_last_row(tmp_path: Path) -> None:
    log = AcceptorLog(tmp_path, SETTINGS, sync=True)
    assert log.memory is None
    log.persist(PersistVotes((), 0))
    log.persist(PersistVotes((VoteRecord(1, 5, 7), VoteRecord(2, 6, 8))))
    log.persist(vote(1, 9, 10))
    log.close()
    assert AcceptorLog(tmp_path, SETTINGS, sync=True).memory == AcceptorMemory({1: Ballot(9, 10), 2: Ballot(6, 8)}, 0)

    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    log_with_torn_row = AcceptorLog(tmp_path, SETTINGS, sync=True)
    assert log_with_torn_row.memory == AcceptorMemory({1: Ballot(5, 7), 2: Ballot(6, 8)}, 0)
    log_with_torn_row.persist(vote(3, 4, 4))
    log_with_torn_row.close()
    complete_memory = AcceptorMemory({1: Ballot(5, 7), 2: Ballot(6, 8), 3: Ballot(4, 4)}, 0)
    assert AcceptorLog(tmp_path, SETTINGS, sync=True).memory == complete_memory


def test_a_damaged_file_is_not_used_as_memory(tmp_path: Path) -> None:
    log = AcceptorLog(tmp_path, SETTINGS, sync=True)
    log.persist(PersistVotes((VoteRecord(1, 5, 7), VoteRecord(2, 6, 8)), 0))
    log.close()
    path = tmp_path / FILE_NAME
    damaged = bytearray(path.read_bytes())
    damaged[60] ^= 1
    path.write_bytes(bytes(damaged))
    assert AcceptorLog(tmp_path, SETTINGS, sync=True).memory is None


def test_votes_under_other_settings_count_as_a_floor(tmp_path: Path) -> None:
    log = AcceptorLog(tmp_path, SETTINGS, sync=False)
    log.persist(PersistVotes((VoteRecord(1, 5, 7),), 0))
    log.close()
    other_settings = replace(SETTINGS, acceptors=(0, 1, 3))
    assert AcceptorLog(tmp_path, other_settings, sync=False).memory == AcceptorMemory({}, 5)


def test_a_vote_whose_write_failed_is_not_stored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    log = AcceptorLog(tmp_path, SETTINGS, sync=False)
    log.persist(PersistVotes((VoteRecord(1, 5, 7),), 0))

    def fail_with_full_disk(fd: int, data: Any) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr("os.write", fail_with_full_disk)
        with pytest.raises(OSError):
            log.persist(vote(1, 6, 8))
    log.persist(vote(2, 7, 9))
    log.close()
    expected = AcceptorMemory({1: Ballot(5, 7), 2: Ballot(7, 9)}, 0)
    assert AcceptorLog(tmp_path, SETTINGS, sync=False).memory == expected


def test_the_file_keeps_its_stored_form(tmp_path: Path) -> None:
    """Guards against a change of the format: gateways before and after an upgrade read each other's files."""
    log = AcceptorLog(tmp_path, SETTINGS, sync=False)
    log.persist(PersistVotes((VoteRecord(1, 5, 7),), 3))
    log.close()
    from fawnspool.records.frames import FrameReader

    assert list(FrameReader(tmp_path / FILE_NAME)) == [["mark", SETTINGS.fingerprint], ["vote", 1, 5, 7], ["floor", 3]]


class RecordingLogger:
    """A logger that records the names of its events."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def _record(self, event: str, **fields: Any) -> None:
        self.names.append(event)

    debug = info = warning = error = _record


def test_a_full_disk_is_logged_once_despite_rejections_that_need_no_write(tmp_path: Path) -> None:
    """Guards against logging `votes_persisted_again`, and showing a working acceptor, while its disk is still full."""
    log, sent = RecordingLogger(), list[SendLeaseMessage]()
    votes = AcceptorLog(tmp_path, SETTINGS, sync=False)
    votes.persist(PersistVotes((), 0))
    persist, is_full = votes.persist, True

    def persist_or_fail(batch: PersistVotes) -> None:
        if is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        persist(batch)

    votes.persist = persist_or_fail  # type: ignore[method-assign]
    acceptor = Acceptor(SETTINGS, LeaseMember(0, 5, seed=1), 10.0, AcceptorMemory({}, 0))
    runner = AcceptorRunner(acceptor, votes, sent.extend, log)
    runner.start()

    def request_vote(incarnation: int, token: int) -> None:
        request = LeaseMessage(
            LeaseMessageType.VOTE_REQUEST, SETTINGS.fingerprint, incarnation, token, entries=(BallotEntry(0, token),)
        )
        runner.receive(10.0, 3, request)

    for token in (1, 2, 3):
        request_vote(6, token)
        request_vote(7, token)  # rejected: nothing to write
    wait_for(lambda: len(sent) == 3)
    assert log.names == ["votes_not_persisted"] and acceptor.disk_failed
    is_full = False
    request_vote(6, 4)
    wait_for(lambda: len(sent) == 4)
    assert log.names == ["votes_not_persisted", "votes_persisted_again"] and not acceptor.disk_failed
    runner.stop()
