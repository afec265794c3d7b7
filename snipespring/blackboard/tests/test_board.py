import threading

import pytest

from snipespring.blackboard import Board, Region
from snipespring.exception import RegionOwnershipError

COUNT = Region[int](name="count", writer="counter", initial=0)


def test_read_of_an_unwritten_region_returns_the_initial_record() -> None:
    assert Board().read(COUNT) == 0


def test_write_by_another_writer_is_refused_without_effect() -> None:
    board = Board()
    with pytest.raises(RegionOwnershipError):
        board.write(COUNT, 7, writer="other")
    assert board.read(COUNT) == 0


def test_no_concurrent_update_is_lost() -> None:
    board = Board()

    def increment_repeatedly() -> None:
        for _ in range(200):
            board.update(COUNT, lambda n: n + 1, writer="counter")

    threads = [threading.Thread(target=increment_repeatedly) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert board.read(COUNT) == 800


def test_subscription_wakes_once_for_a_write_to_its_region() -> None:
    board = Board()
    subscription = board.subscribe([COUNT])
    assert not subscription.wait(0)
    board.write(COUNT, 1, writer="counter")
    assert subscription.wait(0)
    assert not subscription.wait(0)
