from random import Random

from snipespring.blackboard import Board
from snipespring.blackboard.regions import PLATFORM_ROSTER, ROSTER
from snipespring.controllers import EventRecorder, MetricsRecorder, RosterManager
from snipespring.decisions.membership.tests.fleet_model import make_host
from snipespring.frontends.fleet_objects import (
    CONFIGURATION_OBJECT,
    ROSTER_OBJECT,
    decode_roster,
)
from snipespring.records import ObjectRead, ObservedObject, Roster
from snipespring.utils import ManualClock

from .fake_platform import FakePlatform


def make_manager(
    number: int, platform: FakePlatform, clock: ManualClock
) -> RosterManager:
    board = Board()
    return RosterManager(
        board=board,
        clock=clock,
        rng=Random(number),
        platform=platform,
        metrics=MetricsRecorder(board=board),
        event_recorder=EventRecorder(board=board),
        own_host=make_host(number),
        fanout=4,
    )


def stored_roster(platform: FakePlatform) -> Roster:
    stored = platform.objects[ROSTER_OBJECT]
    roster = decode_roster(stored.content, version=stored.version)
    assert roster is not None
    return roster


def step_with_observation(manager: RosterManager, platform: FakePlatform) -> None:
    stored = platform.objects.get(ROSTER_OBJECT)
    if stored is not None:
        observed = ObservedObject(
            version=stored.version, content=stored.content, as_of_s=0.0
        )
        manager.board.write(PLATFORM_ROSTER, observed, writer="roster_watcher")
    manager.step()


def test_44_hosts_join_despite_lost_writes_and_answers() -> None:
    platform = FakePlatform(lose_answers=5, lose_writes=5)
    clock = ManualClock()
    managers = [make_manager(number, platform, clock) for number in range(44)]
    for _ in range(40):
        for manager in managers:
            step_with_observation(manager, platform)
        clock.advance(1.0)
    assert len(stored_roster(platform).hosts) == 44
    assert all(len(manager.board.read(ROSTER).hosts) == 44 for manager in managers)


def test_removed_host_joins_again() -> None:
    platform = FakePlatform()
    clock = ManualClock()
    first, second = (make_manager(number, platform, clock) for number in range(2))
    for manager in (first, second):
        step_with_observation(manager, platform)
    second._change_roster(
        lambda roster: second._remove_hosts(roster, (first.own_host.host_id,))
    )
    clock.advance(3600.0)
    step_with_observation(first, platform)
    assert first.own_host.host_id in stored_roster(platform).hosts


def test_host_does_not_join_before_it_observes_the_configuration() -> None:
    platform = FakePlatform()
    platform.objects[CONFIGURATION_OBJECT] = ObjectRead(
        name=CONFIGURATION_OBJECT, version=3, content=b""
    )
    manager = make_manager(0, platform, ManualClock())
    manager.step()
    assert ROSTER_OBJECT not in platform.objects


def test_leaving_resolves_a_lost_answer() -> None:
    platform = FakePlatform()
    manager = make_manager(0, platform, ManualClock())
    manager.step()
    platform.lose_answers = 1
    manager.leave()
    assert len(stored_roster(platform).hosts) == 0
    assert platform.writes.count(ROSTER_OBJECT) == 2
