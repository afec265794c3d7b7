import threading

import pytest

from snipespring.blackboard import Board, Region
from snipespring.exception import RegionOwnershipError

COUNT = Region[int](name="count", writer="counter", initial=0)


def test_unwritten_region_reads_its_initial_record() -> None:
    assert Board().read(COUNT) == 0


def test_foreign_writer_is_refused_and_changes_nothing() -> None:
    board = Board()
    with pytest.raises(RegionOwnershipError):
        board.write(COUNT, 7, writer="stranger")
    assert board.read(COUNT) == 0


def test_concurrent_updates_are_all_kept() -> None:
    board = Board()

    def add() -> None:
        for _ in range(200):
            board.update(COUNT, lambda n: n + 1, writer="counter")

    threads = [threading.Thread(target=add) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert board.read(COUNT) == 800


def test_subscription_wakes_on_a_write_to_its_region_only() -> None:
    board = Board()
    sub = board.subscribe([COUNT])
    assert not sub.wait(0)
    board.write(COUNT, 1, writer="counter")
    assert sub.wait(0)
    assert not sub.wait(0)
