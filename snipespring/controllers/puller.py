"""Pull from a few hosts what they know and answer their pulls."""

from concurrent.futures import ThreadPoolExecutor

from attrs import define, evolve, field
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import (
    HOST_CONTACTS,
    HOST_STATUSES,
    OWN_STATUS,
    PEER_VIEW,
    ROSTER,
)
from ..decisions.membership import (
    choose_neighbours,
    find_resume_position,
    is_missing_statuses,
    list_rosters,
    make_aged_observation,
    make_aged_statuses,
    make_status_ages,
    merge_observations,
    merge_status,
    prune_statuses,
    receive_observation,
    receive_statuses,
    refresh_status_times,
)
from ..frontends.peers import PeerClient
from ..records import (
    Address,
    Host,
    HostContacts,
    HostId,
    HostStatuses,
    JournalPosition,
    ObservedObject,
    PeerView,
    Pull,
    PullReply,
    Roster,
    Versions,
)
from ..utils import Clock
from .observations import read_newest_configuration, read_newest_roster

__all__ = ["Puller"]

STATUS_RETENTION_S = 60.0
SMALL_FLEET_MAX_HOSTS = 100


@define(kw_only=True, eq=False)
class Puller:
    """Write what other hosts say: sightings of the platform and statuses."""

    board: Board
    clock: Clock
    client: PeerClient
    own_host: Host
    fanout: int
    interval_s: float
    seeds: tuple[Address, ...] = ()
    name: str = "puller"
    watches = ()
    _executor: ThreadPoolExecutor = field(init=False)
    _read_positions: dict[Address, JournalPosition] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Make the threads that wait for peers."""
        self._executor = ThreadPoolExecutor(
            self.fanout + len(self.seeds), thread_name_prefix="pull"
        )

    def step(self) -> float:
        """Pull from each neighbour once; return the interval in seconds."""
        self._remove_stale_entries()
        self._merge_own_status()
        futs = [
            self._executor.submit(self._pull, address)
            for address in self._list_targets()
        ]
        for fut in futs:
            fut.result()
        return self.interval_s

    def answer(self, pull: Pull) -> PullReply:
        """Answer another host's pull."""
        self._record_contact(pull.sender)
        return self._make_reply(pull)

    def _list_targets(self) -> list[Address]:
        roster = self.board.read(ROSTER)
        neighbours = choose_neighbours(roster, self.own_host, self.fanout)
        if neighbours:
            return [host.peers for host in neighbours]
        return [seed for seed in self.seeds if seed != self.own_host.peers]

    def _remove_stale_entries(self) -> None:
        roster = self.board.read(ROSTER)
        now_s = self.clock.monotonic_s()
        self.board.update(
            HOST_CONTACTS,
            lambda heard: _update_listed_hosts(heard, roster, now_s),
            writer=self.name,
        )
        kept = frozenset(
            host_id for _, hosts in list_rosters(roster) for host_id in hosts
        )
        self.board.update(
            HOST_STATUSES,
            lambda held: prune_statuses(
                held, kept, before_s=now_s - STATUS_RETENTION_S
            ),
            writer=self.name,
        )

    def _pull(self, address: Address) -> None:
        configuration, roster = self._read_observations()
        held = Versions(
            configuration=_get_version(configuration), roster=_get_version(roster)
        )
        pull = Pull(
            sender=self.own_host.host_id,
            held=held,
            read=self._read_positions.get(address),
        )
        sent_at_s = self.clock.monotonic_s()
        reply = self.client.call(address, pull, timeout_s=self.interval_s)
        match reply:
            case PullReply():
                self._receive_observations(reply, sent_at_s)
                self._receive_statuses(reply, sent_at_s)
                self._record_position(address, reply)
                self._record_address_contact(address)
            case _:
                return

    def _receive_observations(self, reply: PullReply, sent_at_s: float) -> None:
        def take(view: PeerView) -> PeerView:
            configuration, roster = self._read_observations()
            new_cfg = receive_observation(
                reply.configuration, configuration, sent_at_s=sent_at_s
            )
            new_roster = receive_observation(reply.roster, roster, sent_at_s=sent_at_s)
            return PeerView(
                configuration=merge_observations(view.configuration, new_cfg),
                roster=merge_observations(view.roster, new_roster),
            )

        self.board.update(PEER_VIEW, take, writer=self.name)

    def _receive_statuses(self, reply: PullReply, sent_at_s: float) -> None:
        # What others say of this host itself is never news.
        others = tuple(
            entry
            for entry in reply.statuses
            if entry.status.host_id != self.own_host.host_id
        )
        roster = self.board.read(ROSTER)

        def take(statuses: HostStatuses) -> HostStatuses:
            changed = receive_statuses(statuses, others, sent_at_s=sent_at_s)
            return refresh_status_times(
                changed,
                reply.ages,
                roster,
                own_id=self.own_host.host_id,
                sent_at_s=sent_at_s,
            )

        self.board.update(HOST_STATUSES, take, writer=self.name)

    def _record_position(self, address: Address, reply: PullReply) -> None:
        statuses = self.board.read(HOST_STATUSES)
        missing = is_missing_statuses(statuses, reply.ages, self.board.read(ROSTER))
        if reply.written is None or missing:
            self._read_positions.pop(address, None)
        else:
            self._read_positions[address] = reply.written

    def _record_address_contact(self, address: Address) -> None:
        for host in self.board.read(ROSTER).hosts.values():
            if host.peers == address:
                self._record_contact(host.host_id)

    def _record_contact(self, host_id: HostId) -> None:
        now_s = self.clock.monotonic_s()

        def mark(heard: HostContacts) -> HostContacts:
            return evolve(
                heard, last_contact_s=heard.last_contact_s.set(host_id, now_s)
            )

        self.board.update(HOST_CONTACTS, mark, writer=self.name)

    def _merge_own_status(self) -> None:
        view = self.board.read(OWN_STATUS)
        if view is None:
            return
        self.board.update(
            HOST_STATUSES, lambda held: merge_status(held, view), writer=self.name
        )

    def _make_reply(self, pull: Pull) -> PullReply:
        now_s = self.clock.monotonic_s()
        configuration, roster = self._read_observations()
        applied = self.board.read(ROSTER)
        statuses = self.board.read(HOST_STATUSES)
        after = find_resume_position(pull.read, self.own_host.incarnation)
        if (
            pull.held.roster != applied.version
            and len(applied.hosts) <= SMALL_FLEET_MAX_HOSTS
        ):
            # The ages would not fit the puller's roster.
            after = 0
        return PullReply(
            configuration=make_aged_observation(
                configuration, peer_version=pull.held.configuration, now_s=now_s
            ),
            roster=make_aged_observation(
                roster, peer_version=pull.held.roster, now_s=now_s
            ),
            statuses=make_aged_statuses(statuses, now_s=now_s, after=after),
            ages=make_status_ages(applied, statuses, now_s=now_s),
            written=JournalPosition(
                journal=self.own_host.incarnation, position=statuses.position
            ),
        )

    def _read_observations(self) -> tuple[ObservedObject | None, ObservedObject | None]:
        return read_newest_configuration(self.board), read_newest_roster(self.board)


def _get_version(observed: ObservedObject | None) -> int:
    return observed.version if observed is not None else 0


def _update_listed_hosts(
    contacts: HostContacts, roster: Roster, now_s: float
) -> HostContacts:
    """Note hosts that are new in the roster and forget those that are gone."""
    listed = contacts.first_listed_s
    if listed.keys() == roster.hosts.keys():
        return contacts
    return HostContacts(
        first_listed_s=Map(
            {host_id: listed.get(host_id, now_s) for host_id in roster.hosts}
        ),
        last_contact_s=Map(
            {
                host_id: at_s
                for host_id, at_s in contacts.last_contact_s.items()
                if host_id in roster.hosts
            }
        ),
    )
