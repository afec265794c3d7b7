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
        accountant=MetricsRecorder(board=board),
        historian=EventRecorder(board=board),
        own_host=make_host(number),
        fanout=4,
    )


def stored_roster(platform: FakePlatform) -> Roster:
    held = platform.objects[ROSTER_OBJECT]
    roster = decode_roster(held.content, version=held.version)
    assert roster is not None
    return roster


def step_with_observation(manager: RosterManager, platform: FakePlatform) -> None:
    held = platform.objects.get(ROSTER_OBJECT)
    if held is not None:
        seen = ObservedObject(version=held.version, content=held.content, as_of_s=0.0)
        manager.board.write(PLATFORM_ROSTER, seen, writer="roster_watcher")
    manager.step()


def test_44_hosts_join_though_answers_are_lost() -> None:
    platform = FakePlatform(lose_answers=5, lose_writes=5)
    clock = ManualClock()
    keepers = [make_manager(number, platform, clock) for number in range(44)]
    for _ in range(40):
        for keeper in keepers:
            step_with_observation(keeper, platform)
        clock.advance(1.0)
    assert len(stored_roster(platform).hosts) == 44
    assert all(len(keeper.board.read(ROSTER).hosts) == 44 for keeper in keepers)


def test_a_host_that_was_removed_enters_again() -> None:
    platform = FakePlatform()
    clock = ManualClock()
    first, second = (make_manager(number, platform, clock) for number in range(2))
    for keeper in (first, second):
        step_with_observation(keeper, platform)
    second._change_roster(
        lambda roster: second._remove_hosts(roster, (first.own_host.host_id,))
    )
    clock.advance(3600.0)
    step_with_observation(first, platform)
    assert first.own_host.host_id in stored_roster(platform).hosts


def test_no_join_before_the_configuration_is_known() -> None:
    platform = FakePlatform()
    platform.objects[CONFIGURATION_OBJECT] = ObjectRead(
        name=CONFIGURATION_OBJECT, version=3, content=b""
    )
    keeper = make_manager(0, platform, ManualClock())
    keeper.step()
    assert ROSTER_OBJECT not in platform.objects


def test_leaving_settles_a_lost_answer() -> None:
    platform = FakePlatform()
    keeper = make_manager(0, platform, ManualClock())
    keeper.step()
    platform.lose_answers = 1
    keeper.leave()
    assert len(stored_roster(platform).hosts) == 0
    assert platform.writes.count(ROSTER_OBJECT) == 2
