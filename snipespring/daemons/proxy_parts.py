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
    FenceKeeper,
    HealthJudge,
    HealthKeeper,
    HealthReporter,
    LeaseKeeper,
    Limiter,
    Puller,
    RosterKeeper,
    SegmentKeeper,
    ShareBook,
    ShareBorrower,
    ShareMover,
    StatusKeeper,
    TenureKeeper,
    Watcher,
)
from ..decisions.claims import derive_issuing_key
from ..decisions.limits import peer_of
from ..frontends.fleet_objects import CONFIGURATION_OBJECT, ROSTER_OBJECT
from ..records import ObservedObject
from .proxy_context import ProxyContext

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
    platform_followers: tuple[Controller, ...]

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (
            self.puller,
            self.roster_keeper,
            self.segment_keeper,
            self.lease_keeper,
            *self.platform_followers,
        )


@define(kw_only=True, eq=False)
class LimitPart:
    """Hold what keeps the shares of organisations' limits."""

    share_manager: ShareBook
    handover_sender: ShareMover
    borrower: ShareBorrower
    limiter: Limiter

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.borrower, self.handover_sender)


@define(kw_only=True, eq=False)
class HealthPart:
    """Hold what judges backend servers."""

    evaluator: HealthJudge
    reporter: HealthReporter
    state_updater: HealthKeeper

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.evaluator, self.reporter, self.state_updater)


@define(kw_only=True, eq=False)
class ClaimPart:
    """Hold what lets a request with an idempotency key run at most once."""

    owner: ClaimOwner
    claimant: Claimant
    handover_sender: ClaimHandover
    tenure: TenureKeeper

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.tenure, self.owner, self.claimant)


def build_membership(context: ProxyContext) -> MembershipPart:
    """Return the part that follows the platform and the other hosts."""
    peers = context.settings.peers
    return MembershipPart(
        puller=Puller(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own=context.own_host,
            fanout=peers.fanout,
            interval_s=peers.pull_interval_s,
            seeds=peers.seeds,
        ),
        roster_keeper=RosterKeeper(
            board=context.board,
            clock=context.clock,
            rng=context.rng,
            platform=context.platform,
            accountant=context.accountant,
            historian=context.historian,
            own=context.own_host,
            fanout=peers.fanout,
        ),
        segment_keeper=SegmentKeeper(
            board=context.board,
            rng=context.rng,
            platform=context.platform,
            client=context.links,
            accountant=context.accountant,
            own=context.own_host,
            fanout=peers.fanout,
            seeds=peers.seeds,
        ),
        lease_keeper=LeaseKeeper(
            board=context.board,
            clock=context.clock,
            historian=context.historian,
            own=context.own_host,
            lease_s=peers.lease_s,
        ),
        platform_followers=_build_platform_followers(context),
    )


def _build_platform_followers(context: ProxyContext) -> tuple[Controller, ...]:
    peers = context.settings.peers
    return (
        _build_watcher(context, CONFIGURATION_OBJECT, PLATFORM_CONFIGURATION),
        _build_watcher(context, ROSTER_OBJECT, PLATFORM_ROSTER),
        Configurator(
            board=context.board, clock=context.clock, historian=context.historian
        ),
        StatusKeeper(board=context.board, clock=context.clock, own=context.own_host),
        FenceKeeper(
            board=context.board,
            clock=context.clock,
            own=context.own_host,
            lease_s=peers.lease_s,
            drift_margin_s=peers.drift_margin_s,
        ),
    )


def _build_watcher(
    context: ProxyContext, object_name: str, region: Region[ObservedObject | None]
) -> Watcher:
    return Watcher(
        board=context.board,
        clock=context.clock,
        rng=context.rng,
        platform=context.platform,
        accountant=context.accountant,
        own=context.own_host,
        object_name=object_name,
        region=region,
    )


def build_limits(context: ProxyContext) -> LimitPart:
    """Return the part that admits requests inside their organisation's rate."""
    book = ShareBook(
        board=context.board, clock=context.clock, own=peer_of(context.own_host)
    )
    return LimitPart(
        share_manager=book,
        handover_sender=ShareMover(
            book=book,
            client=context.links,
            clock=context.clock,
            historian=context.historian,
            accountant=context.accountant,
        ),
        borrower=ShareBorrower(
            book=book, client=context.links, accountant=context.accountant
        ),
        limiter=Limiter(
            board=context.board,
            clock=context.clock,
            book=book,
            accountant=context.accountant,
        ),
    )


def build_health(context: ProxyContext) -> HealthPart:
    """Return the part that tells sick backend servers from busy ones."""
    judge = HealthJudge(
        board=context.board,
        clock=context.clock,
        accountant=context.accountant,
        own=context.own_host,
    )
    return HealthPart(
        evaluator=judge,
        reporter=HealthReporter(
            board=context.board,
            clock=context.clock,
            client=context.links,
            judge=judge,
            own=context.own_host,
        ),
        state_updater=HealthKeeper(
            board=context.board,
            clock=context.clock,
            historian=context.historian,
            accountant=context.accountant,
            own=context.own_host,
        ),
    )


def build_claims(context: ProxyContext, secret: bytes) -> ClaimPart:
    """Return the part that claims keys and remembers them."""
    owner = ClaimOwner(board=context.board, clock=context.clock, own=context.own_host)
    return ClaimPart(
        owner=owner,
        claimant=Claimant(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own=context.own_host,
            owner=owner,
            historian=context.historian,
            accountant=context.accountant,
            issuing_key=derive_issuing_key(secret),
        ),
        handover_sender=ClaimHandover(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own=context.own_host,
        ),
        tenure=TenureKeeper(
            board=context.board, clock=context.clock, own=context.own_host
        ),
    )
