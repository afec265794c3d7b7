"""Pull from a few hosts what they know and answer their pulls."""

from concurrent.futures import ThreadPoolExecutor

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import (
    HOST_STATUSES,
    OWN_STATUS,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    ROSTER,
)
from ..decisions.membership import (
    age_sighting,
    age_statuses,
    merge_sightings,
    merge_status,
    rank_hosts,
    receive_sighting,
    receive_statuses,
)
from ..frontends.peers import PeerClient
from ..records import (
    Host,
    HostStatuses,
    HostView,
    PeerView,
    Pull,
    PullReply,
    Sighting,
    Versions,
)
from ..utils import Clock

__all__ = ["Puller"]


@define(kw_only=True, eq=False)
class Puller:
    """Write what other hosts say: sightings of the platform and statuses."""

    board: Board
    clock: Clock
    client: PeerClient
    own: Host
    fanout: int
    interval_s: float
    name: str = "puller"
    watches = ()
    _pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the threads that wait for peers."""
        self._pool = ThreadPoolExecutor(self.fanout, thread_name_prefix="pull")

    def step(self) -> float:
        """Pull from each neighbour once; return the interval in seconds."""
        self._take_own_status()
        futs = [self._pool.submit(self._pull, host) for host in self._neighbours()]
        for fut in futs:
            fut.result()
        return self.interval_s

    def answer(self, pull: Pull) -> PullReply:
        """Answer another host's pull."""
        return self._reply(pull.held)

    def _neighbours(self) -> list[Host]:
        hosts = self.board.read(ROSTER).hosts.values()
        others = [host for host in hosts if host.host_id != self.own.host_id]
        return rank_hosts(others, self.own.host_id)[: self.fanout]

    def _pull(self, host: Host) -> None:
        configuration, roster = self._sightings()
        held = Versions(configuration=_version(configuration), roster=_version(roster))
        pull = Pull(sender=self.own.host_id, held=held)
        sent_at_s = self.clock.monotonic_s()
        reply = self.client.call(host.peers, pull, timeout_s=self.interval_s)
        match reply:
            case PullReply():
                self._take_sightings(reply, sent_at_s)
                self._take_statuses(reply, sent_at_s)
            case _:
                return

    def _take_sightings(self, reply: PullReply, sent_at_s: float) -> None:
        def take(view: PeerView) -> PeerView:
            configuration, roster = self._sightings()
            new_cfg = receive_sighting(
                reply.configuration, configuration, sent_at_s=sent_at_s
            )
            new_roster = receive_sighting(reply.roster, roster, sent_at_s=sent_at_s)
            return PeerView(
                configuration=merge_sightings(view.configuration, new_cfg),
                roster=merge_sightings(view.roster, new_roster),
            )

        self.board.update(PEER_VIEW, take, writer=self.name)

    def _take_statuses(self, reply: PullReply, sent_at_s: float) -> None:
        def take(statuses: HostStatuses) -> HostStatuses:
            return receive_statuses(statuses, reply.statuses, sent_at_s=sent_at_s)

        self.board.update(HOST_STATUSES, take, writer=self.name)

    def _take_own_status(self) -> None:
        status = self.board.read(OWN_STATUS)
        if status is None:
            return
        view = HostView(status=status, as_of_s=self.clock.monotonic_s())
        self.board.update(
            HOST_STATUSES, lambda held: merge_status(held, view), writer=self.name
        )

    def _reply(self, held: Versions) -> PullReply:
        now_s = self.clock.monotonic_s()
        configuration, roster = self._sightings()
        return PullReply(
            configuration=age_sighting(
                configuration, held_version=held.configuration, now_s=now_s
            ),
            roster=age_sighting(roster, held_version=held.roster, now_s=now_s),
            statuses=age_statuses(self.board.read(HOST_STATUSES), now_s=now_s),
        )

    def _sightings(self) -> tuple[Sighting | None, Sighting | None]:
        view = self.board.read(PEER_VIEW)
        configuration = merge_sightings(
            self.board.read(PLATFORM_CONFIGURATION), view.configuration
        )
        roster = merge_sightings(self.board.read(PLATFORM_ROSTER), view.roster)
        return configuration, roster


def _version(seen: Sighting | None) -> int:
    return seen.version if seen is not None else 0
