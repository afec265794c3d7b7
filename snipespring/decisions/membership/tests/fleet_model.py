"""Model a fleet of hosts with their own clocks around the real decisions."""

from attrs import define, evolve, field
from immutables import Map

from snipespring.decisions import membership as mbr
from snipespring.frontends.fleet_objects import decode_roster, encode_roster
from snipespring.records import (
    Address,
    DomainName,
    Fence,
    Host,
    HostId,
    HostStatus,
    HostStatuses,
    HostView,
    Incarnation,
    JournalPosition,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    ObservedObject,
    PullReply,
    Roster,
    Versions,
)

LEASE_S = 4.0
MARGIN_S = 0.4
CONFIGURATION = ObservedObject(version=1, content=b"", as_of_s=0.0)


def make_host(number: int, incarnation: int = 0, domains: int = 3) -> Host:
    ip = f"127.0.{number // 250}.{number % 250 + 1}"
    return Host(
        host_id=HostId(f"h{number:03d}"),
        incarnation=Incarnation(f"{incarnation:06d}"),
        domain=DomainName(f"d{number % domains}"),
        callers=Address(ip=ip, port=1),
        peers=Address(ip=ip, port=2),
        operators=Address(ip=ip, port=3),
    )


def make_roster(count: int, *, version: int = 1, domains: int = 3) -> Roster:
    hosts = [make_host(number, domains=domains) for number in range(count)]
    return Roster(version=version, hosts=Map({host.host_id: host for host in hosts}))


@define(kw_only=True)
class ModelPlatform:
    """Keep the roster object; its version rises by one with each write."""

    version: int = 0
    content: bytes | None = None

    def roster(self) -> Roster:
        if self.content is None:
            return Roster()
        roster = decode_roster(self.content, version=self.version)
        assert roster is not None
        return roster

    def write(self, roster: Roster) -> None:
        self.content = encode_roster(roster)
        self.version += 1


@define(kw_only=True)
class ModelHost:
    """Run one host's lease, fence and status on its own clock."""

    own: Host
    rate: float
    offset_s: float
    seen: ObservedObject | None = None
    configuration: ObservedObject | None = None
    roster: Roster = field(factory=Roster)
    statuses: HostStatuses = field(factory=HostStatuses)
    fence: Fence = field(factory=Fence)
    lease: LeaseState = LeaseLapsed(reason="start")
    sequence: int = 0
    reported: int = -1
    frozen: bool = False
    read: dict[HostId, JournalPosition] = field(factory=dict)

    def clock_s(self, true_s: float) -> float:
        return self.offset_s + self.rate * true_s

    def holds_lease(self, true_s: float) -> bool:
        match self.lease:
            case LeaseHeld(until_s=until_s):
                return self.clock_s(true_s) < until_s
            case LeaseLapsed():
                return False

    def see_platform(self, platform: ModelPlatform, sent_s: float) -> None:
        as_of_s = self.clock_s(sent_s)
        self._confirm(as_of_s)
        if platform.content is not None:
            seen = ObservedObject(
                version=platform.version, content=platform.content, as_of_s=as_of_s
            )
            self.seen = mbr.merge_sightings(self.seen, seen)

    def step(self, true_s: float) -> None:
        now_s = self.clock_s(true_s)
        self._follow()
        self._report(now_s)
        self.lease = mbr.decide_lease(
            own=self.own,
            in_force=Versions(configuration=1, roster=self.roster.version),
            configuration=self.configuration,
            roster_seen=self.seen,
            roster=self.roster,
            statuses=self.statuses,
            lease_s=LEASE_S,
            now_s=now_s,
        )
        self.fence = mbr.advance_fence(
            self.fence,
            own=self.own,
            roster=self.roster,
            statuses=self.statuses,
            lease_s=LEASE_S,
            drift_margin_s=MARGIN_S,
            now_s=now_s,
        )

    def reply(
        self, held: int, true_s: float, read: JournalPosition | None = None
    ) -> PullReply:
        now_s = self.clock_s(true_s)
        after = mbr.read_after(read, self.own.incarnation)
        return PullReply(
            configuration=mbr.age_sighting(
                self.configuration, held_version=1, now_s=now_s
            ),
            roster=mbr.age_sighting(self.seen, held_version=held, now_s=now_s),
            statuses=mbr.age_statuses(self.statuses, now_s=now_s, after=after),
            ages=mbr.age_vector(self.roster, self.statuses, now_s=now_s),
            written=JournalPosition(
                journal=self.own.incarnation, position=self.statuses.position
            ),
        )

    def take(self, peer: HostId, reply: PullReply, sent_s: float) -> None:
        sent_at_s = self.clock_s(sent_s)
        seen = mbr.receive_sighting(reply.roster, self.seen, sent_at_s=sent_at_s)
        self.seen = mbr.merge_sightings(self.seen, seen)
        if reply.configuration is not None:
            self._confirm(sent_at_s - reply.configuration.age_s)
        statuses = mbr.receive_statuses(
            self.statuses, reply.statuses, sent_at_s=sent_at_s
        )
        self.statuses = mbr.renew_statuses(
            statuses,
            reply.ages,
            self.roster,
            own=self.own.host_id,
            sent_at_s=sent_at_s,
        )
        self._note_position(peer, reply)

    def _note_position(self, peer: HostId, reply: PullReply) -> None:
        missing = mbr.misses_statuses(self.statuses, reply.ages, self.roster)
        if reply.written is None or missing:
            self.read.pop(peer, None)
        else:
            self.read[peer] = reply.written

    def join(self, platform: ModelPlatform) -> None:
        held = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(held, joined=(self.own,)))

    def leave(self, platform: ModelPlatform) -> None:
        self.lease = LeaseLapsed(reason="finished")
        held = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(held, left=(self.own.host_id,)))

    def remove(self, platform: ModelPlatform, host_ids: tuple[HostId, ...]) -> None:
        held = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(held, removed=host_ids))

    def _confirm(self, as_of_s: float) -> None:
        seen = evolve(CONFIGURATION, as_of_s=as_of_s)
        self.configuration = mbr.merge_sightings(self.configuration, seen)

    def _follow(self) -> None:
        if self.seen is None or self.seen.version <= self.roster.version:
            return
        roster = decode_roster(self.seen.content, version=self.seen.version)
        assert roster is not None
        self.roster = roster

    def _report(self, now_s: float) -> None:
        if self.reported != self.roster.version:
            self.reported = self.roster.version
            self.sequence += 1
        status = HostStatus(
            host_id=self.own.host_id,
            incarnation=self.own.incarnation,
            sequence=self.sequence,
            versions=Versions(configuration=1, roster=self.roster.version),
        )
        view = HostView(status=status, as_of_s=now_s)
        self.statuses = mbr.merge_status(self.statuses, view)
