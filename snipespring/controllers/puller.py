"""Pull observed objects and host statuses from a few hosts and answer their pulls."""

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
    """Write what other hosts report: observed platform objects and host statuses.

    In each round, a host pulls from `fanout` hosts of the roster, its neighbours, or
    from the addresses in `seeds` while it knows no neighbour.
    """

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
        """Start the pool of threads that call peers."""
        self._executor = ThreadPoolExecutor(
            self.fanout + len(self.seeds), thread_name_prefix="pull"
        )

    def step(self) -> float:
        """Pull from each neighbour once; return seconds until the next round."""
        self._remove_stale_entries()
        self._merge_own_status()
        futures = [
            self._executor.submit(self._pull, address)
            for address in self._list_targets()
        ]
        for future in futures:
            future.result()
        return self.interval_s

    def answer(self, pull: Pull) -> PullReply:
        """Record contact with the host that pulls and answer it."""
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
            lambda contacts: _update_listed_hosts(contacts, roster, now_s),
            writer=self.name,
        )
        listed_ids = frozenset(
            host_id for _, hosts in list_rosters(roster) for host_id in hosts
        )
        self.board.update(
            HOST_STATUSES,
            lambda statuses: prune_statuses(
                statuses, listed_ids, before_s=now_s - STATUS_RETENTION_S
            ),
            writer=self.name,
        )

    def _pull(self, address: Address) -> None:
        configuration, roster = self._read_observations()
        versions = Versions(
            configuration=_get_version(configuration), roster=_get_version(roster)
        )
        pull = Pull(
            sender=self.own_host.host_id,
            held=versions,
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
        def merge(view: PeerView) -> PeerView:
            configuration, roster = self._read_observations()
            new_cfg = receive_observation(
                reply.configuration, configuration, sent_at_s=sent_at_s
            )
            new_roster = receive_observation(reply.roster, roster, sent_at_s=sent_at_s)
            return PeerView(
                configuration=merge_observations(view.configuration, new_cfg),
                roster=merge_observations(view.roster, new_roster),
            )

        self.board.update(PEER_VIEW, merge, writer=self.name)

    def _receive_statuses(self, reply: PullReply, sent_at_s: float) -> None:
        # Statuses of this host from others are never newer than its own.
        others = tuple(
            entry
            for entry in reply.statuses
            if entry.status.host_id != self.own_host.host_id
        )
        roster = self.board.read(ROSTER)

        def merge(statuses: HostStatuses) -> HostStatuses:
            changed = receive_statuses(statuses, others, sent_at_s=sent_at_s)
            return refresh_status_times(
                changed,
                reply.ages,
                roster,
                own_id=self.own_host.host_id,
                sent_at_s=sent_at_s,
            )

        self.board.update(HOST_STATUSES, merge, writer=self.name)

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

        def set_contact(contacts: HostContacts) -> HostContacts:
            return evolve(
                contacts, last_contact_s=contacts.last_contact_s.set(host_id, now_s)
            )

        self.board.update(HOST_CONTACTS, set_contact, writer=self.name)

    def _merge_own_status(self) -> None:
        view = self.board.read(OWN_STATUS)
        if view is None:
            return
        self.board.update(
            HOST_STATUSES,
            lambda statuses: merge_status(statuses, view),
            writer=self.name,
        )

    def _make_reply(self, pull: Pull) -> PullReply:
        now_s = self.clock.monotonic_s()
        configuration, roster = self._read_observations()
        own_roster = self.board.read(ROSTER)
        statuses = self.board.read(HOST_STATUSES)
        after = find_resume_position(pull.read, self.own_host.incarnation)
        if (
            pull.held.roster != own_roster.version
            and len(own_roster.hosts) <= SMALL_FLEET_MAX_HOSTS
        ):
            # The ages are listed in the order of this host's roster, so a host that has
            # another roster cannot assign them. Send it all statuses instead.
            after = 0
        return PullReply(
            configuration=make_aged_observation(
                configuration, peer_version=pull.held.configuration, now_s=now_s
            ),
            roster=make_aged_observation(
                roster, peer_version=pull.held.roster, now_s=now_s
            ),
            statuses=make_aged_statuses(statuses, now_s=now_s, after=after),
            ages=make_status_ages(own_roster, statuses, now_s=now_s),
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
    """Add hosts that are new in the roster and remove those that have left it."""
    listed = contacts.first_listed_s
    if listed.keys() == roster.hosts.keys():
        return contacts
    return HostContacts(
        first_listed_s=Map(
            {host_id: listed.get(host_id, now_s) for host_id in roster.hosts}
        ),
        last_contact_s=Map(
            {
                host_id: contact_s
                for host_id, contact_s in contacts.last_contact_s.items()
                if host_id in roster.hosts
            }
        ),
    )
