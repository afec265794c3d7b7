"""Build the controllers of each part of a host."""

from attrs import define

from ..blackboard import Region
from ..blackboard.regions import PLATFORM_CONFIGURATION, PLATFORM_ROSTER
from ..controllers import (
    Claimant,
    ClaimHandoverSender,
    ClaimOwner,
    Configurator,
    Controller,
    FenceKeeper,
    HealthJudge,
    HealthKeeper,
    HealthReporter,
    LeaseKeeper,
    Limiter,
    Puller,
    RosterKeeper,
    SegmentKeeper,
    ShareBorrower,
    ShareHandoverSender,
    ShareManager,
    StatusKeeper,
    TenureKeeper,
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
    roster_keeper: RosterKeeper
    segment_keeper: SegmentKeeper
    lease_keeper: LeaseKeeper
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

    book: ShareManager
    mover: ShareHandoverSender
    borrower: ShareBorrower
    limiter: Limiter

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.borrower, self.mover)


@define(kw_only=True, eq=False)
class HealthPart:
    """Hold what judges backend servers."""

    judge: HealthJudge
    reporter: HealthReporter
    keeper: HealthKeeper

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.judge, self.reporter, self.keeper)


@define(kw_only=True, eq=False)
class ClaimPart:
    """Hold what lets a request with an idempotency key run at most once."""

    owner: ClaimOwner
    claimant: Claimant
    handover: ClaimHandoverSender
    tenure: TenureKeeper

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
            own=shared.own,
            fanout=peers.fanout,
            interval_s=peers.pull_interval_s,
            seeds=peers.seeds,
        ),
        roster_keeper=RosterKeeper(
            board=shared.board,
            clock=shared.clock,
            rng=shared.rng,
            platform=shared.platform,
            accountant=shared.accountant,
            historian=shared.historian,
            own=shared.own,
            fanout=peers.fanout,
        ),
        segment_keeper=SegmentKeeper(
            board=shared.board,
            rng=shared.rng,
            platform=shared.platform,
            client=shared.links,
            accountant=shared.accountant,
            own=shared.own,
            fanout=peers.fanout,
            seeds=peers.seeds,
        ),
        lease_keeper=LeaseKeeper(
            board=shared.board,
            clock=shared.clock,
            historian=shared.historian,
            own=shared.own,
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
        StatusKeeper(board=shared.board, clock=shared.clock, own=shared.own),
        FenceKeeper(
            board=shared.board,
            clock=shared.clock,
            own=shared.own,
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
        own=shared.own,
        object_name=object_name,
        region=region,
    )


def build_limits(shared: Shared) -> LimitPart:
    """Return the part that admits requests inside their organisation's rate."""
    book = ShareManager(
        board=shared.board, clock=shared.clock, own_peer=peer_of(shared.own)
    )
    return LimitPart(
        book=book,
        mover=ShareHandoverSender(
            share_manager=book,
            client=shared.links,
            clock=shared.clock,
            historian=shared.historian,
            accountant=shared.accountant,
        ),
        borrower=ShareBorrower(
            share_manager=book, client=shared.links, accountant=shared.accountant
        ),
        limiter=Limiter(
            board=shared.board,
            clock=shared.clock,
            share_manager=book,
            accountant=shared.accountant,
        ),
    )


def build_health(shared: Shared) -> HealthPart:
    """Return the part that tells sick backend servers from busy ones."""
    judge = HealthJudge(
        board=shared.board,
        clock=shared.clock,
        accountant=shared.accountant,
        own=shared.own,
    )
    return HealthPart(
        judge=judge,
        reporter=HealthReporter(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            judge=judge,
            own=shared.own,
        ),
        keeper=HealthKeeper(
            board=shared.board,
            clock=shared.clock,
            historian=shared.historian,
            accountant=shared.accountant,
            own=shared.own,
        ),
    )


def build_claims(shared: Shared, secret: bytes) -> ClaimPart:
    """Return the part that claims keys and remembers them."""
    owner = ClaimOwner(board=shared.board, clock=shared.clock, own_host=shared.own)
    return ClaimPart(
        owner=owner,
        claimant=Claimant(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            own_host=shared.own,
            local_owner=owner,
            historian=shared.historian,
            accountant=shared.accountant,
            issuing_key=derive_issuing_key(secret),
        ),
        handover=ClaimHandoverSender(
            board=shared.board,
            clock=shared.clock,
            client=shared.links,
            own_host=shared.own,
        ),
        tenure=TenureKeeper(board=shared.board, clock=shared.clock, own=shared.own),
    )
