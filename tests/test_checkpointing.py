"""When the extent map is written to disk, and whether in full."""

from __future__ import annotations

from fawnspool.extents.checkpointing import MIN_LOG_CAPACITY, RETRY_DELAY_S, CheckpointAction, CheckpointPolicy


def test_the_full_map_is_written_at_first_when_the_log_is_long_and_after_a_failure() -> None:
    policy = CheckpointPolicy()
    assert [policy.next_action(1.0, 1, 5) for _ in range(2)] == [CheckpointAction.FULL_MAP, CheckpointAction.APPEND]
    assert (
        policy.next_action(2.0, MIN_LOG_CAPACITY, 5) is CheckpointAction.FULL_MAP
        and policy.next_action(2.0, 1, 5) is CheckpointAction.APPEND
    )
    assert (
        policy.next_action(3.0, MIN_LOG_CAPACITY, 3 * MIN_LOG_CAPACITY) is CheckpointAction.APPEND
    )  # a large map is written more seldom
    policy.write_failed(10.0)
    assert (
        policy.next_action(10.0 + RETRY_DELAY_S / 2, 1, 5) is CheckpointAction.SKIP
        and policy.next_action(10.0 + RETRY_DELAY_S, 1, 5) is CheckpointAction.FULL_MAP
    )
    assert policy.complete_mark_due(100.0) and not policy.complete_mark_due(100.1)
