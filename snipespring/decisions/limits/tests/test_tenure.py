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
OWN_PEER = peer_of(NEW.hosts[HostId("host-3")])
OTHERS = [peer_of(OLD.hosts[host_id]) for host_id in sorted(OLD.hosts)]


def make_joiner_transitions() -> tuple[RosterTransition, ...]:
    transitions = follow_roster((), OLD, OWN_PEER, now_s=10.0)
    return follow_roster(transitions, NEW, OWN_PEER, now_s=20.0)


def make_stop(sender: Peer, *, complete: bool) -> ShareHandovers:
    return ShareHandovers(
        sender=sender,
        roster_version=8,
        last_held_version=7,
        complete=complete,
        unused_for_s=5.0,
        lent_for_s=0.5,
        shares=(),
    )


def test_joiner_may_use_a_slot_once_its_holder_released_it() -> None:
    transitions = make_joiner_transitions()
    assert begin_time_s(transitions[-1], OTHERS[0]) is None
    transitions = record_stop(
        transitions, make_stop(OTHERS[0], complete=True), now_s=21.0
    )
    assert begin_time_s(transitions[-1], OTHERS[0]) == 16.0
    assert begin_time_s(transitions[-1], OTHERS[1]) is None


def test_slots_may_be_used_after_the_fence_and_the_longest_loan() -> None:
    transitions = follow_fence(make_joiner_transitions(), Fence(version=8), now_s=30.0)
    assert begin_time_s(transitions[-1], None) == 30.0 + MAX_LOAN_LIFETIME_S
    assert all_shares_in_use_since_s(transitions, OWN_PEER, now_s=30.0) is None
    assert (
        all_shares_in_use_since_s(transitions, OWN_PEER, now_s=40.0)
        == 30.0 + MAX_LOAN_LIFETIME_S
    )


def test_stops_alone_are_not_enough_once_a_host_has_left() -> None:
    transitions = make_joiner_transitions()
    for other in OTHERS:
        transitions = record_stop(
            transitions, make_stop(other, complete=False), now_s=21.0
        )
    assert begin_time_s(transitions[-1], OTHERS[0]) is None


def test_stops_of_all_hosts_are_enough_if_no_host_ever_left() -> None:
    roster = make_roster(range(4), version=4)
    transitions = follow_roster((), roster, OWN_PEER, now_s=10.0)
    for other in OTHERS:
        assert begin_time_s(transitions[-1], None) is None
        transitions = record_stop(
            transitions, make_stop(other, complete=False), now_s=21.0
        )
    assert begin_time_s(transitions[-1], None) == 21.5


def test_skipped_version_discards_earlier_transitions() -> None:
    transitions = follow_fence(make_joiner_transitions(), Fence(version=8), now_s=30.0)
    transitions = follow_roster(
        transitions, make_roster(range(4), version=10), OWN_PEER, now_s=60.0
    )
    assert [transition.roster.version for transition in transitions] == [10]
    assert all_shares_in_use_since_s(transitions, OWN_PEER, now_s=90.0) is None
