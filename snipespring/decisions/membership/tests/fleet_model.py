"""Model a fleet of hosts with separate clocks on top of the real decisions."""

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
    """Store the roster object; each write increments its version."""

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
    """Run one host's lease, fence and status by its local clock."""

    host: Host
    clock_rate: float
    clock_offset_s: float
    observed_roster: ObservedObject | None = None
    observed_configuration: ObservedObject | None = None
    roster: Roster = field(factory=Roster)
    statuses: HostStatuses = field(factory=HostStatuses)
    fence: Fence = field(factory=Fence)
    lease: LeaseState = LeaseLapsed(reason="start")
    sequence: int = 0
    reported_version: int = -1
    frozen: bool = False
    read_positions: dict[HostId, JournalPosition] = field(factory=dict)

    def clock_s(self, true_s: float) -> float:
        return self.clock_offset_s + self.clock_rate * true_s

    def holds_lease(self, true_s: float) -> bool:
        match self.lease:
            case LeaseHeld(until_s=until_s):
                return self.clock_s(true_s) < until_s
            case LeaseLapsed():
                return False

    def observe_platform(self, platform: ModelPlatform, sent_s: float) -> None:
        as_of_s = self.clock_s(sent_s)
        self._observe_configuration(as_of_s)
        if platform.content is not None:
            observed = ObservedObject(
                version=platform.version, content=platform.content, as_of_s=as_of_s
            )
            self.observed_roster = mbr.merge_observations(
                self.observed_roster, observed
            )

    def step(self, true_s: float) -> None:
        now_s = self.clock_s(true_s)
        self._adopt_roster()
        self._report(now_s)
        self.lease = mbr.decide_lease(
            own_host=self.host,
            effective_versions=Versions(configuration=1, roster=self.roster.version),
            observed_configuration=self.observed_configuration,
            observed_roster=self.observed_roster,
            roster=self.roster,
            statuses=self.statuses,
            lease_s=LEASE_S,
            now_s=now_s,
        )
        self.fence = mbr.advance_fence(
            self.fence,
            own_host=self.host,
            roster=self.roster,
            statuses=self.statuses,
            lease_s=LEASE_S,
            drift_margin_s=MARGIN_S,
            now_s=now_s,
        )

    def reply(
        self,
        puller_version: int,
        true_s: float,
        read_position: JournalPosition | None = None,
    ) -> PullReply:
        now_s = self.clock_s(true_s)
        after = mbr.find_resume_position(read_position, self.host.incarnation)
        return PullReply(
            configuration=mbr.make_aged_observation(
                self.observed_configuration, peer_version=1, now_s=now_s
            ),
            roster=mbr.make_aged_observation(
                self.observed_roster, peer_version=puller_version, now_s=now_s
            ),
            statuses=mbr.make_aged_statuses(self.statuses, now_s=now_s, after=after),
            ages=mbr.make_status_ages(self.roster, self.statuses, now_s=now_s),
            written=JournalPosition(
                journal=self.host.incarnation, position=self.statuses.position
            ),
        )

    def receive(self, peer: HostId, reply: PullReply, sent_s: float) -> None:
        sent_at_s = self.clock_s(sent_s)
        observed = mbr.receive_observation(
            reply.roster, self.observed_roster, sent_at_s=sent_at_s
        )
        self.observed_roster = mbr.merge_observations(self.observed_roster, observed)
        if reply.configuration is not None:
            self._observe_configuration(sent_at_s - reply.configuration.age_s)
        statuses = mbr.receive_statuses(
            self.statuses, reply.statuses, sent_at_s=sent_at_s
        )
        self.statuses = mbr.refresh_status_times(
            statuses,
            reply.ages,
            self.roster,
            own_id=self.host.host_id,
            sent_at_s=sent_at_s,
        )
        self._record_position(peer, reply)

    def _record_position(self, peer: HostId, reply: PullReply) -> None:
        missing = mbr.is_missing_statuses(self.statuses, reply.ages, self.roster)
        if reply.written is None or missing:
            self.read_positions.pop(peer, None)
        else:
            self.read_positions[peer] = reply.written

    def join(self, platform: ModelPlatform) -> None:
        roster = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(roster, joined=(self.host,)))

    def leave(self, platform: ModelPlatform) -> None:
        self.lease = LeaseLapsed(reason="finished")
        roster = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(roster, left=(self.host.host_id,)))

    def remove(self, platform: ModelPlatform, host_ids: tuple[HostId, ...]) -> None:
        roster = mbr.compact_roster(platform.roster(), fenced=self.fence.version)
        platform.write(mbr.change_roster(roster, removed=host_ids))

    def _observe_configuration(self, as_of_s: float) -> None:
        observed = evolve(CONFIGURATION, as_of_s=as_of_s)
        self.observed_configuration = mbr.merge_observations(
            self.observed_configuration, observed
        )

    def _adopt_roster(self) -> None:
        if (
            self.observed_roster is None
            or self.observed_roster.version <= self.roster.version
        ):
            return
        roster = decode_roster(
            self.observed_roster.content, version=self.observed_roster.version
        )
        assert roster is not None
        self.roster = roster

    def _report(self, now_s: float) -> None:
        if self.reported_version != self.roster.version:
            self.reported_version = self.roster.version
            self.sequence += 1
        status = HostStatus(
            host_id=self.host.host_id,
            incarnation=self.host.incarnation,
            sequence=self.sequence,
            versions=Versions(configuration=1, roster=self.roster.version),
        )
        view = HostView(status=status, as_of_s=now_s)
        self.statuses = mbr.merge_status(self.statuses, view)
