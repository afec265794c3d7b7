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
    FenceTracker,
    HealthEvaluator,
    HealthReporter,
    LeaseManager,
    Limiter,
    Puller,
    RosterManager,
    SegmentFetcher,
    ServerStateUpdater,
    ShareBorrower,
    ShareHandoverSender,
    ShareManager,
    StatusReporter,
    TenureTracker,
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
    roster_keeper: RosterManager
    segment_keeper: SegmentFetcher
    lease_keeper: LeaseManager
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

    share_manager: ShareManager
    handover_sender: ShareHandoverSender
    borrower: ShareBorrower
    limiter: Limiter

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.borrower, self.handover_sender)


@define(kw_only=True, eq=False)
class HealthPart:
    """Hold what judges backend servers."""

    evaluator: HealthEvaluator
    reporter: HealthReporter
    state_updater: ServerStateUpdater

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.evaluator, self.reporter, self.state_updater)


@define(kw_only=True, eq=False)
class ClaimPart:
    """Hold what lets a request with an idempotency key run at most once."""

    owner: ClaimOwner
    claimant: Claimant
    handover_sender: ClaimHandoverSender
    tenure: TenureTracker

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
            own_host=context.own_host,
            fanout=peers.fanout,
            interval_s=peers.pull_interval_s,
            seeds=peers.seeds,
        ),
        roster_keeper=RosterManager(
            board=context.board,
            clock=context.clock,
            rng=context.rng,
            platform=context.platform,
            accountant=context.accountant,
            historian=context.historian,
            own_host=context.own_host,
            fanout=peers.fanout,
        ),
        segment_keeper=SegmentFetcher(
            board=context.board,
            rng=context.rng,
            platform=context.platform,
            client=context.links,
            accountant=context.accountant,
            own_host=context.own_host,
            fanout=peers.fanout,
            seeds=peers.seeds,
        ),
        lease_keeper=LeaseManager(
            board=context.board,
            clock=context.clock,
            historian=context.historian,
            own_host=context.own_host,
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
        StatusReporter(
            board=context.board, clock=context.clock, own_host=context.own_host
        ),
        FenceTracker(
            board=context.board,
            clock=context.clock,
            own_host=context.own_host,
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
        own_host=context.own_host,
        object_name=object_name,
        region=region,
    )


def build_limits(context: ProxyContext) -> LimitPart:
    """Return the part that admits requests inside their organisation's rate."""
    book = ShareManager(
        board=context.board, clock=context.clock, own_peer=peer_of(context.own_host)
    )
    return LimitPart(
        share_manager=book,
        handover_sender=ShareHandoverSender(
            share_manager=book,
            client=context.links,
            clock=context.clock,
            historian=context.historian,
            accountant=context.accountant,
        ),
        borrower=ShareBorrower(
            share_manager=book, client=context.links, accountant=context.accountant
        ),
        limiter=Limiter(
            board=context.board,
            clock=context.clock,
            share_manager=book,
            accountant=context.accountant,
        ),
    )


def build_health(context: ProxyContext) -> HealthPart:
    """Return the part that tells sick backend servers from busy ones."""
    judge = HealthEvaluator(
        board=context.board,
        clock=context.clock,
        accountant=context.accountant,
        own_host=context.own_host,
    )
    return HealthPart(
        evaluator=judge,
        reporter=HealthReporter(
            board=context.board,
            clock=context.clock,
            client=context.links,
            evaluator=judge,
            own_host=context.own_host,
        ),
        state_updater=ServerStateUpdater(
            board=context.board,
            clock=context.clock,
            historian=context.historian,
            accountant=context.accountant,
            own_host=context.own_host,
        ),
    )


def build_claims(context: ProxyContext, secret: bytes) -> ClaimPart:
    """Return the part that claims keys and remembers them."""
    owner = ClaimOwner(
        board=context.board, clock=context.clock, own_host=context.own_host
    )
    return ClaimPart(
        owner=owner,
        claimant=Claimant(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own_host=context.own_host,
            local_owner=owner,
            historian=context.historian,
            accountant=context.accountant,
            issuing_key=derive_issuing_key(secret),
        ),
        handover_sender=ClaimHandoverSender(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own_host=context.own_host,
        ),
        tenure=TenureTracker(
            board=context.board, clock=context.clock, own_host=context.own_host
        ),
    )
