"""Measure what one pull costs in bytes and processor time, by fleet size."""

import sys
import time
from collections.abc import Callable
from random import Random

from immutables import Map

from snipespring.decisions.membership import (
    is_missing_statuses,
    make_aged_statuses,
    make_status_ages,
    receive_statuses,
    refresh_status_times,
)
from snipespring.frontends.peers import decode_message, encode_message
from snipespring.records import (
    Address,
    AgedSighting,
    DomainName,
    Host,
    HostId,
    HostStatus,
    HostStatuses,
    HostView,
    Incarnation,
    JournalPosition,
    PullReply,
    Roster,
    Versions,
)

__all__ = ["main"]

FLEET_SIZES = (44, 200, 870)
DOMAINS = 6
ROUNDS = 50
FANOUT = 4
PULLS_PER_S = 2.0
NOW_S = 1000.0
MAX_AGE_S = 2.5
BYTES_PER_KB = 1000.0
MS_PER_S = 1000.0
OWN_ID = HostId("host-0000")


def main() -> int:
    """Print one row a fleet size, at rest and for a puller that knows nothing."""
    print("hosts  reply B  full B  answer ms  take ms  node kB/s  core %")
    for count in FLEET_SIZES:
        print(_measure_fleet(count))
    return 0


def _measure_fleet(host_count: int) -> str:
    rng = Random(host_count)
    roster = _make_roster(host_count)
    statuses = _make_statuses(roster, rng)
    reply = _make_reply(roster, statuses, after=statuses.position)
    content = encode_message(reply)
    full = encode_message(_make_reply(roster, statuses, after=0))
    answer_s = _time_call_s(
        lambda: encode_message(_make_reply(roster, statuses, statuses.position))
    )
    held = [_make_statuses(roster, rng) for _ in range(ROUNDS)]
    take_s = _time_call_s(lambda: _receive_reply(held.pop(), content, roster))
    pulls = FANOUT * PULLS_PER_S
    rate_kb = 2 * pulls * len(content) / BYTES_PER_KB
    core = pulls * (answer_s + take_s) * 100.0
    return (
        f"{host_count:5d}  {len(content):7d}  {len(full):6d}  {answer_s * MS_PER_S:9.2f}"
        f"  {take_s * MS_PER_S:7.2f}  {rate_kb:9.1f}  {core:6.2f}"
    )


def _receive_reply(known: HostStatuses, content: bytes, roster: Roster) -> None:
    reply = decode_message(content)
    if not isinstance(reply, PullReply):
        raise TypeError("the reply does not decode")
    changed = receive_statuses(known, reply.statuses, sent_at_s=NOW_S)
    renewed = refresh_status_times(
        changed, reply.ages, roster, own_id=OWN_ID, sent_at_s=NOW_S
    )
    is_missing_statuses(renewed, reply.ages, roster)


def _make_reply(roster: Roster, statuses: HostStatuses, after: int) -> PullReply:
    sighting = AgedSighting(version=7, age_s=0.5)
    return PullReply(
        configuration=sighting,
        roster=sighting,
        statuses=make_aged_statuses(statuses, now_s=NOW_S, after=after),
        ages=make_status_ages(roster, statuses, now_s=NOW_S),
        written=JournalPosition(
            journal=Incarnation("1700000000000-0123abcd"), position=statuses.position
        ),
    )


def _time_call_s(call: Callable[[], object]) -> float:
    start_s = time.process_time()
    for _ in range(ROUNDS):
        call()
    return (time.process_time() - start_s) / ROUNDS


def _make_roster(host_count: int) -> Roster:
    hosts = (_make_host(number) for number in range(host_count))
    return Roster(version=7, hosts=Map({host.host_id: host for host in hosts}))


def _make_host(number: int) -> Host:
    ip = f"10.0.{number // 250}.{number % 250 + 1}"
    return Host(
        host_id=HostId(f"host-{number:04d}"),
        incarnation=Incarnation(f"1700000000000-{number:08x}"),
        domain=DomainName(f"domain-{number % DOMAINS}"),
        callers=Address(ip=ip, port=8080),
        peers=Address(ip=ip, port=7400),
        operators=Address(ip=ip, port=9100),
    )


def _make_statuses(roster: Roster, rng: Random) -> HostStatuses:
    views = {
        host.host_id: HostView(
            status=HostStatus(
                host_id=host.host_id,
                incarnation=host.incarnation,
                sequence=1,
                versions=Versions(configuration=7, roster=7),
            ),
            as_of_s=NOW_S - rng.uniform(0.0, MAX_AGE_S),
        )
        for host in roster.hosts.values()
    }
    changed_at = Map({host_id: n for n, host_id in enumerate(sorted(views), start=1)})
    return HostStatuses(by_host=Map(views), changed_at=changed_at, position=len(views))


if __name__ == "__main__":
    sys.exit(main())
