from contextlib import AbstractContextManager
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.blackboard import Board, Region
from snipespring.blackboard.regions import ATTEMPT_WATCH, RUNNING_ATTEMPTS
from snipespring.controllers import Canceller
from snipespring.utils import ManualClock

from .routing_fakes import ScriptedTransport


class CancelMachine(RuleBasedStateMachine):
    """Compare cancelled attempts with those overdue or of a disconnected caller."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.transport = ScriptedTransport()
        self.canceller = Canceller(
            board=Board(), clock=self.clock, transport=self.transport
        )
        self.running: dict[str, AbstractContextManager[None]] = {}
        self.ends_s: dict[str, float] = {}
        self.disconnected: set[str] = set()
        self.count = 0

    @rule(timeout_s=st.floats(0.01, 5.0))
    def begin(self, timeout_s: float) -> None:
        attempt_id = f"attempt-{self.count}"
        self.count += 1
        watch = self.canceller.watch(
            attempt_id,
            timeout_s=timeout_s,
            is_disconnected=lambda: attempt_id in self.disconnected,
        )
        watch.__enter__()
        self.running[attempt_id] = watch
        self.ends_s[attempt_id] = self.clock.now_s + timeout_s
        assert self.canceller.board.read(ATTEMPT_WATCH).is_active

    @rule(index=st.integers(0, 5))
    def end(self, index: int) -> None:
        if index < len(self.running):
            attempt_id = list(self.running)[index]
            self.running.pop(attempt_id).__exit__(None, None, None)

    @rule(index=st.integers(0, 5))
    def leave(self, index: int) -> None:
        if index < len(self.running):
            self.disconnected.add(list(self.running)[index])

    @rule(delta_s=st.floats(0.0, 3.0))
    def step(self, delta_s: float) -> None:
        self.clock.advance(delta_s)
        self.transport.cancelled.clear()
        wait_s = self.canceller.step()
        due = {
            attempt_id
            for attempt_id in self.running
            if attempt_id in self.disconnected
            or self.ends_s[attempt_id] <= self.clock.now_s
        }
        assert set(self.transport.cancelled) == due
        if self.running:
            assert wait_s is not None
            assert 0 < wait_s <= 0.1
        else:
            assert wait_s is None

    @invariant()
    def running_attempts_are_listed(self) -> None:
        running = self.canceller.board.read(RUNNING_ATTEMPTS).by_id
        assert set(running) == set(self.running)


TestCancel = CancelMachine.TestCase


def test_idle_canceller_does_not_wake_itself() -> None:
    board = Board()
    canceller = Canceller(
        board=board, clock=ManualClock(), transport=ScriptedTransport()
    )
    sub = board.subscribe(canceller.watches)
    with canceller.watch("attempt-1", timeout_s=1.0, is_disconnected=lambda: False):
        canceller.step()
    canceller.step()
    sub.wait(0)
    assert canceller.step() is None
    assert not sub.wait(0)


def test_attempt_that_begins_while_the_canceller_becomes_idle_is_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an attempt that ends with its caller's deadline only, because the
    # canceller did not see it and sleeps.
    board, clock, write = Board(), ManualClock(), Board.write
    transport = ScriptedTransport()
    canceller = Canceller(board=board, clock=clock, transport=transport)
    with canceller.watch("attempt-1", timeout_s=1.0, is_disconnected=lambda: False):
        canceller.step()
    late = canceller.watch("attempt-2", timeout_s=1.0, is_disconnected=lambda: False)

    def begin_before_the_write(
        self: Board, region: Region[Any], record: Any, *, writer: str
    ) -> None:
        monkeypatch.undo()
        late.__enter__()
        write(self, region, record, writer=writer)

    monkeypatch.setattr(Board, "write", begin_before_the_write)
    wait_s = canceller.step()
    assert wait_s is not None
    clock.advance(1.0)
    canceller.step()
    assert transport.cancelled == ["attempt-2"]
    late.__exit__(None, None, None)
