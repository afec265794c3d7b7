from snipespring.decisions.limits import (
    MAX_LOAN_LIFETIME_S,
    all_shares_in_use_since_s,
    follow_fence,
    follow_roster,
    peer_of,
)
from snipespring.decisions.limits.tenure import begin_time_s, record_stop
from snipespring.records import Fence, HostId, Peer, RosterTransition, ShareHandovers

from .rosters import make_roster

OLD = make_roster(range(3), version=7)
NEW = make_roster(range(4), version=8)
OWN = peer_of(NEW.hosts[HostId("host-3")])
OTHERS = [peer_of(OLD.hosts[host_id]) for host_id in sorted(OLD.hosts)]


def steps_of_joiner() -> tuple[RosterTransition, ...]:
    steps = follow_roster((), OLD, OWN, now_s=10.0)
    return follow_roster(steps, NEW, OWN, now_s=20.0)


def stop_of(sender: Peer, *, complete: bool) -> ShareHandovers:
    return ShareHandovers(
        sender=sender,
        roster_version=8,
        last_held_version=7,
        complete=complete,
        unused_for_s=5.0,
        lent_for_s=0.5,
        shares=(),
    )


def test_joiner_begins_a_slot_when_its_holder_released_it() -> None:
    steps = steps_of_joiner()
    assert begin_time_s(steps[-1], OTHERS[0]) is None
    steps = record_stop(steps, stop_of(OTHERS[0], complete=True), now_s=21.0)
    assert begin_time_s(steps[-1], OTHERS[0]) == 16.0
    assert begin_time_s(steps[-1], OTHERS[1]) is None


def test_fence_and_the_longest_loan_begin_every_slot() -> None:
    steps = follow_fence(steps_of_joiner(), Fence(version=8), now_s=30.0)
    assert begin_time_s(steps[-1], None) == 30.0 + MAX_LOAN_LIFETIME_S
    assert all_shares_in_use_since_s(steps, OWN, now_s=30.0) is None
    assert (
        all_shares_in_use_since_s(steps, OWN, now_s=40.0) == 30.0 + MAX_LOAN_LIFETIME_S
    )


def test_stops_alone_begin_nothing_once_a_host_has_left() -> None:
    steps = steps_of_joiner()
    for other in OTHERS:
        steps = record_stop(steps, stop_of(other, complete=False), now_s=21.0)
    assert begin_time_s(steps[-1], OTHERS[0]) is None


def test_stops_of_all_hosts_begin_slots_while_none_ever_left() -> None:
    roster = make_roster(range(4), version=4)
    steps = follow_roster((), roster, OWN, now_s=10.0)
    for other in OTHERS:
        assert begin_time_s(steps[-1], None) is None
        steps = record_stop(steps, stop_of(other, complete=False), now_s=21.0)
    assert begin_time_s(steps[-1], None) == 21.5


def test_skipped_version_forgets_what_was_held() -> None:
    steps = follow_fence(steps_of_joiner(), Fence(version=8), now_s=30.0)
    steps = follow_roster(steps, make_roster(range(4), version=10), OWN, now_s=60.0)
    assert [step.roster.version for step in steps] == [10]
    assert all_shares_in_use_since_s(steps, OWN, now_s=90.0) is None
