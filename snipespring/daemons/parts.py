"""Build the controllers of each part of a host."""

from attrs import define

from ..blackboard import Region
from ..blackboard.regions import PLATFORM_CONFIGURATION, PLATFORM_ROSTER
from ..controllers import (
    Claimant,
    ClaimHandover,
    ClaimOwner,
    Configurator,
    Controller,
    FenceTracker,
    HealthEvaluator,
    HealthReporter,
    LeaseManager,
    Limiter,
    Puller,
    RosterManager,
    SegmentFetcher,
    ServerStateUpdater,
    ShareBook,
    ShareBorrower,
    ShareMover,
    StatusReporter,
    TenureTracker,
    Watcher,
)
from ..decisions.claims import derive_issuing_key
from ..decisions.limits import peer_of
from ..frontends.fleet_objects import CONFIGURATION_OBJECT, ROSTER_OBJECT
from ..records import ObservedObject
from .shared import Shared

__all__ = [
    "ClaimPart",
    "HealthPart",
    "LimitPart",
    "MembershipPart",
    "build_claims",
    "build_health",
    "build_limits",
    "build_membership",
]


@define(kw_only=True, eq=False)
class MembershipPart:
    """Hold what keeps roster, lease, fence, statuses and configuration."""

    puller: Puller
    roster_keeper: RosterManager
    segment_keeper: SegmentFetcher
    lease_keeper: LeaseManager
    others: tuple[Controller, ...]

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (
            self.puller,
            self.roster_keeper,
            self.segment_keeper,
            self.lease_keeper,
            *self.others,
        )


@define(kw_only=True, eq=False)
class LimitPart:
    """Hold what keeps the shares of organisations' limits."""

    book: ShareBook
    mover: ShareMover
    borrower: ShareBorrower
    limiter: Limiter

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.borrower, self.mover)


@define(kw_only=True, eq=False)
class HealthPart:
    """Hold what judges backend servers."""

    judge: HealthEvaluator
    reporter: HealthReporter
    keeper: ServerStateUpdater

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.judge, self.reporter, self.keeper)


@define(kw_only=True, eq=False)
class ClaimPart:
    """Hold what lets a request with an idempotency key run at most once."""

    owner: ClaimOwner
    claimant: Claimant
    handover: ClaimHandover
    tenure: TenureTracker

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.tenure, self.owner, self.claimant)


def build_membership(shared: Shared) -> MembershipPart:
    """Return the part that follows the platform and the other hosts."""
    peers = shared.settings.peers
    return MembershipPart(
        puller=Puller(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            own_host=shared.own,
            fanout=peers.fanout,
            interval_s=peers.pull_interval_s,
            seeds=peers.seeds,
        ),
        roster_keeper=RosterManager(
            board=shared.board,
            clock=shared.clock,
            rng=shared.rng,
            platform=shared.platform,
            accountant=shared.accountant,
            historian=shared.historian,
            own_host=shared.own,
            fanout=peers.fanout,
        ),
        segment_keeper=SegmentFetcher(
            board=shared.board,
            rng=shared.rng,
            platform=shared.platform,
            client=shared.links,
            accountant=shared.accountant,
            own_host=shared.own,
            fanout=peers.fanout,
            seeds=peers.seeds,
        ),
        lease_keeper=LeaseManager(
            board=shared.board,
            clock=shared.clock,
            historian=shared.historian,
            own_host=shared.own,
            lease_s=peers.lease_s,
        ),
        others=_build_followers(shared),
    )


def _build_followers(shared: Shared) -> tuple[Controller, ...]:
    peers = shared.settings.peers
    return (
        _build_watcher(shared, CONFIGURATION_OBJECT, PLATFORM_CONFIGURATION),
        _build_watcher(shared, ROSTER_OBJECT, PLATFORM_ROSTER),
        Configurator(
            board=shared.board, clock=shared.clock, historian=shared.historian
        ),
        StatusReporter(board=shared.board, clock=shared.clock, own_host=shared.own),
        FenceTracker(
            board=shared.board,
            clock=shared.clock,
            own_host=shared.own,
            lease_s=peers.lease_s,
            drift_margin_s=peers.drift_margin_s,
        ),
    )


def _build_watcher(
    shared: Shared, object_name: str, region: Region[ObservedObject | None]
) -> Watcher:
    return Watcher(
        board=shared.board,
        clock=shared.clock,
        rng=shared.rng,
        platform=shared.platform,
        accountant=shared.accountant,
        own_host=shared.own,
        object_name=object_name,
        region=region,
    )


def build_limits(shared: Shared) -> LimitPart:
    """Return the part that admits requests inside their organisation's rate."""
    book = ShareBook(board=shared.board, clock=shared.clock, own=peer_of(shared.own))
    return LimitPart(
        book=book,
        mover=ShareMover(
            book=book,
            client=shared.links,
            clock=shared.clock,
            historian=shared.historian,
            accountant=shared.accountant,
        ),
        borrower=ShareBorrower(
            book=book, client=shared.links, accountant=shared.accountant
        ),
        limiter=Limiter(
            board=shared.board,
            clock=shared.clock,
            book=book,
            accountant=shared.accountant,
        ),
    )


def build_health(shared: Shared) -> HealthPart:
    """Return the part that tells sick backend servers from busy ones."""
    judge = HealthEvaluator(
        board=shared.board,
        clock=shared.clock,
        accountant=shared.accountant,
        own_host=shared.own,
    )
    return HealthPart(
        judge=judge,
        reporter=HealthReporter(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            evaluator=judge,
            own_host=shared.own,
        ),
        keeper=ServerStateUpdater(
            board=shared.board,
            clock=shared.clock,
            historian=shared.historian,
            accountant=shared.accountant,
            own_host=shared.own,
        ),
    )


def build_claims(shared: Shared, secret: bytes) -> ClaimPart:
    """Return the part that claims keys and remembers them."""
    owner = ClaimOwner(board=shared.board, clock=shared.clock, own=shared.own)
    return ClaimPart(
        owner=owner,
        claimant=Claimant(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            own=shared.own,
            owner=owner,
            historian=shared.historian,
            accountant=shared.accountant,
            issuing_key=derive_issuing_key(secret),
        ),
        handover=ClaimHandover(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            own=shared.own,
        ),
        tenure=TenureTracker(
            board=shared.board, clock=shared.clock, own_host=shared.own
        ),
    )
