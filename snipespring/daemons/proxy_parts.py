"""Build the controllers of a proxy, grouped by subsystem."""

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
    """Group the controllers of roster, lease, fence, status and configuration.

    The fence is the roster version below which every earlier lease has ended.
    """

    puller: Puller
    roster_manager: RosterManager
    segment_fetcher: SegmentFetcher
    lease_manager: LeaseManager
    other_controllers: tuple[Controller, ...]

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers that the runner steps."""
        return (
            self.puller,
            self.roster_manager,
            self.segment_fetcher,
            self.lease_manager,
            *self.other_controllers,
        )


@define(kw_only=True, eq=False)
class LimitPart:
    """Group the controllers that distribute organisations' limits among hosts."""

    share_manager: ShareManager
    handover_sender: ShareHandoverSender
    borrower: ShareBorrower
    limiter: Limiter

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers that the runner steps."""
        return (self.borrower, self.handover_sender)


@define(kw_only=True, eq=False)
class HealthPart:
    """Group the controllers that assess the health of backend servers."""

    evaluator: HealthEvaluator
    reporter: HealthReporter
    state_updater: ServerStateUpdater

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers that the runner steps."""
        return (self.evaluator, self.reporter, self.state_updater)


@define(kw_only=True, eq=False)
class ClaimPart:
    """Group the controllers that run requests with idempotency keys at most once."""

    owner: ClaimOwner
    claimant: Claimant
    handover_sender: ClaimHandoverSender
    tenure_tracker: TenureTracker

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers that the runner steps."""
        return (self.tenure_tracker, self.owner, self.claimant)


def build_membership(context: ProxyContext) -> MembershipPart:
    """Build the controllers that exchange state with the platform and the peers."""
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
        roster_manager=RosterManager(
            board=context.board,
            clock=context.clock,
            rng=context.rng,
            platform=context.platform,
            metrics=context.metrics,
            event_recorder=context.event_recorder,
            own_host=context.own_host,
            fanout=peers.fanout,
        ),
        segment_fetcher=SegmentFetcher(
            board=context.board,
            rng=context.rng,
            platform=context.platform,
            client=context.links,
            metrics=context.metrics,
            own_host=context.own_host,
            fanout=peers.fanout,
            seeds=peers.seeds,
        ),
        lease_manager=LeaseManager(
            board=context.board,
            clock=context.clock,
            event_recorder=context.event_recorder,
            own_host=context.own_host,
            lease_s=peers.lease_s,
        ),
        other_controllers=_build_other_controllers(context),
    )


def _build_other_controllers(context: ProxyContext) -> tuple[Controller, ...]:
    peers = context.settings.peers
    return (
        _build_watcher(context, CONFIGURATION_OBJECT, PLATFORM_CONFIGURATION),
        _build_watcher(context, ROSTER_OBJECT, PLATFORM_ROSTER),
        Configurator(
            board=context.board,
            clock=context.clock,
            event_recorder=context.event_recorder,
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
        metrics=context.metrics,
        own_host=context.own_host,
        object_name=object_name,
        region=region,
    )


def build_limits(context: ProxyContext) -> LimitPart:
    """Build the controllers that enforce the rate limits of organisations."""
    share_manager = ShareManager(
        board=context.board, clock=context.clock, own_peer=peer_of(context.own_host)
    )
    return LimitPart(
        share_manager=share_manager,
        handover_sender=ShareHandoverSender(
            share_manager=share_manager,
            client=context.links,
            clock=context.clock,
            event_recorder=context.event_recorder,
            metrics=context.metrics,
        ),
        borrower=ShareBorrower(
            share_manager=share_manager,
            client=context.links,
            metrics=context.metrics,
        ),
        limiter=Limiter(
            board=context.board,
            clock=context.clock,
            share_manager=share_manager,
            metrics=context.metrics,
        ),
    )


def build_health(context: ProxyContext) -> HealthPart:
    """Build the controllers that distinguish unhealthy from busy backend servers."""
    evaluator = HealthEvaluator(
        board=context.board,
        clock=context.clock,
        metrics=context.metrics,
        own_host=context.own_host,
    )
    return HealthPart(
        evaluator=evaluator,
        reporter=HealthReporter(
            board=context.board,
            clock=context.clock,
            client=context.links,
            evaluator=evaluator,
            own_host=context.own_host,
        ),
        state_updater=ServerStateUpdater(
            board=context.board,
            clock=context.clock,
            event_recorder=context.event_recorder,
            metrics=context.metrics,
            own_host=context.own_host,
        ),
    )


def build_claims(context: ProxyContext, secret: bytes) -> ClaimPart:
    """Build the controllers that claim idempotency keys and store their outcomes."""
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
            event_recorder=context.event_recorder,
            metrics=context.metrics,
            issuing_key=derive_issuing_key(secret),
        ),
        handover_sender=ClaimHandoverSender(
            board=context.board,
            clock=context.clock,
            client=context.links,
            own_host=context.own_host,
        ),
        tenure_tracker=TenureTracker(
            board=context.board, clock=context.clock, own_host=context.own_host
        ),
    )
