"""Decide which failure domains are evacuated, and which servers a request may use.

Handles the load when an operator takes all servers of a domain out of use at a moment
of full traffic, and brings them back while they may be cold. The hosts of a domain
learn of both from the digests of the host that watches the store, and make no call
themselves.
"""

from collections.abc import Callable
from math import inf

from attrs import evolve, frozen

from ..records import (
    Configuration,
    DomainName,
    Evacuation,
    EvacuationMark,
    EvacuationsFollowed,
    EvacuationsState,
    EvacuationsUnused,
    FeedView,
    OrganisationRule,
    RegionMap,
    RouteRule,
    ServerSubset,
    StoreRelay,
)
from .confirmations import QueryStore
from .restores import begin_era
from .server_relay import AwaitRelay

__all__ = [
    "NoUsableServer",
    "allowed_regions",
    "apply_evacuation_mark",
    "check_evacuation_relay",
    "confirm_evacuations",
    "find_known_s",
    "list_unknown_regions",
    "list_evacuated",
    "make_evacuation_mark",
    "next_resume_s",
    "region_of",
    "select_usable_servers",
]

# After the end of an evacuation the servers stay unused for this long, so that the news
# of cold servers arrives first: it may take two batches of changes, 0.4 s each.
RESUME_DELAY_S = 1.0
# The hosts of a domain are told of the end of its last evacuation for this long.
ENDED_NOTICE_S = 10.0
# A host that starts waits this long for a digest before it reads the list itself,
START_RELAY_S = 1.0
# and sends no request for this long unless it knows the list.
START_WAIT_S = 2.0

View = FeedView[Evacuation]


@frozen(kw_only=True)
class NoUsableServer:
    """Represent that no server of a service may be used, and why."""

    reason: str


def list_evacuated(view: View, *, now_s: float) -> frozenset[DomainName]:
    """Return the domains that get no requests.

    A domain is among them for some time after the end of its evacuation. One that a
    restored store does not show stays among them for two heartbeats, since it may have
    been written after the backup.
    """
    return frozenset(
        evacuation.domain
        for name, evacuation in view.items.items()
        if evacuation.problem is None
        and now_s < _end_time_s(view, name) + RESUME_DELAY_S
    )


def next_resume_s(view: View, *, now_s: float) -> float:
    """Return when the next ended evacuation lets requests through, or infinity."""
    times = (_end_time_s(view, name) + RESUME_DELAY_S for name in view.removed_s)
    return min((time_s for time_s in times if time_s > now_s), default=inf)


def find_known_s(state: EvacuationsState, *, now_s: float) -> float:
    """Return when requests may be placed as far as evacuations are known.

    A host that hears nothing at its start serves after a short wait.
    """
    match state:
        case EvacuationsFollowed(confirmed_s=None, since_s=since_s):
            return max(now_s, since_s + START_WAIT_S)
        case EvacuationsFollowed() | EvacuationsUnused():
            return now_s


def check_evacuation_relay(
    state: EvacuationsState, relay: StoreRelay, *, limit_s: float, now_s: float
) -> QueryStore | AwaitRelay:
    """Return whether digests replace a query to the store.

    They do while one has shown within `limit_s` seconds that the list is up to date.
    """
    match state:
        case EvacuationsUnused():
            return AwaitRelay(next_check_s=inf)
        case EvacuationsFollowed() if relay.is_watcher:
            return QueryStore()
        case EvacuationsFollowed(confirmed_s=None, since_s=since_s):
            until_s = since_s + START_RELAY_S
        case EvacuationsFollowed(confirmed_s=float() as confirmed_s):
            until_s = confirmed_s + limit_s
    return QueryStore() if now_s >= until_s else AwaitRelay(next_check_s=until_s)


def make_evacuation_mark(
    view: View,
    state: EvacuationsState,
    is_known: Callable[[DomainName], bool],
    *,
    now_s: float,
) -> EvacuationMark | None:
    """Return what a digest states about evacuations, None if there are none.

    Only known domains are listed, since any name may be written to the store.
    """
    match state:
        case EvacuationsUnused():
            return None
        case EvacuationsFollowed(confirmed_s=None):
            return EvacuationMark()
        case EvacuationsFollowed() if _is_discarded(view):
            return EvacuationMark()
        case EvacuationsFollowed():
            pass
    domains = [domain for domain in _list_shown(view) if is_known(domain)]
    ended_s = max(view.removed_s.values(), default=-inf)
    if view.revision is None or not (domains or now_s < ended_s + ENDED_NOTICE_S):
        return None
    return EvacuationMark(
        revision=view.revision, domains=tuple(sorted(domains)), era=view.era
    )


def apply_evacuation_mark(
    view: View, mark: EvacuationMark | None, *, now_s: float, grace_s: float = 0.0
) -> View:
    """Return the list after a digest; the same object if the digest is not newer.

    At the same revision domains are only added, as another host may know more of them.
    A list of a newer era is taken over; evacuations that it lacks stay in force for
    `grace_s` seconds. A host that has discarded its revision lists by itself.
    """
    if mark is None or mark.revision == 0 or mark.era < view.era:
        return view
    known, is_newer = view.revision or 0, mark.era > view.era
    if not is_newer and (_is_discarded(view) or mark.revision < known):
        return view
    shown = _list_shown(view)
    added = frozenset(mark.domains) - shown
    is_later = is_newer or mark.revision > known
    ended = shown - frozenset(mark.domains) if is_later else frozenset()
    if not is_later and not added:
        return view
    if is_newer:
        view = begin_era(view, mark.era, recovered_s=None, grace_s=grace_s, now_s=now_s)
    items, removed, unrestored = view.items, view.removed_s, view.unrestored
    for domain in mark.domains:
        if domain in added:
            items = items.set(domain, Evacuation(domain=domain))
            removed = removed.delete(domain) if domain in removed else removed
        unrestored -= {domain}
    for domain in ended:
        removed = removed.set(domain, now_s)
    return evolve(
        view,
        items=items,
        removed_s=removed,
        unrestored=unrestored,
        revision=mark.revision,
        # A list from digests is kept after a restore as one from the store is.
        complete_after=mark.revision,
    )


def confirm_evacuations(
    state: EvacuationsState,
    view: View,
    mark: EvacuationMark | None,
    *,
    reached_s: float,
) -> EvacuationsState:
    """Return the state after a digest whose sender reached the store at `reached_s`.

    A digest without a mark confirms an empty list only, one with a mark a list of the
    same era. A host that missed the end of an evacuation is not confirmed and reads the
    list itself.
    """
    match state, mark:
        case EvacuationsUnused(), _:
            return state
        case EvacuationsFollowed() as followed, None:
            is_confirmed = not _list_shown(view) and not view.unrestored
        case EvacuationsFollowed() as followed, EvacuationMark(
            revision=revision, era=era
        ) as mark:
            is_known = view.revision is not None and view.revision <= revision
            is_confirmed = (
                revision > 0
                and era == view.era
                and (is_known or _list_shown(view) == frozenset(mark.domains))
            )
    if not is_confirmed:
        return followed
    known_s = followed.confirmed_s
    confirmed_s = reached_s if known_s is None else max(known_s, reached_s)
    return evolve(followed, confirmed_s=confirmed_s)


def allowed_regions(
    route: RouteRule, organisation: OrganisationRule | None
) -> frozenset[str] | None:
    """Return the regions whose servers a request may use, None for all."""
    restricted = None if organisation is None else organisation.regions
    if route.regions is None or restricted is None:
        return restricted if route.regions is None else route.regions
    return route.regions & restricted


def region_of(regions: RegionMap, domain: DomainName) -> str:
    """Return the region of a failure domain, empty if it is unknown."""
    own_region = regions.own_region if domain == regions.own_domain else ""
    return regions.by_domain.get(domain, own_region)


def list_unknown_regions(cfg: Configuration, regions: RegionMap) -> frozenset[str]:
    """Return the regions that routes or organisations name and no domain is in."""
    routes = (
        route
        for table in (cfg.routes, cfg.host_routes)
        for rules in table.values()
        for route in rules
    )
    named = (rule.regions for rule in (*routes, *cfg.organisations.values()))
    known = {regions.own_region, *regions.by_domain.values()}
    return frozenset().union(*(names for names in named if names)) - known


def select_usable_servers(
    subset: ServerSubset,
    *,
    evacuated: frozenset[DomainName],
    regions: frozenset[str] | None = None,
) -> ServerSubset | NoUsableServer:
    """Return the servers of a subset that a request may use."""
    if not evacuated and regions is None:
        return subset
    inside = tuple(
        member
        for member in subset.members
        if regions is None or member.rule.region in regions
    )
    members = tuple(member for member in inside if member.rule.domain not in evacuated)
    if members or not subset.members:
        return evolve(subset, members=members)
    reasons = []
    if regions is not None:
        outside = len(subset.members) - len(inside)
        names = ", ".join(sorted(regions)) or "none in common"
        reasons.append(f"{outside} servers are outside the allowed regions ({names})")
    if inside:
        names = ", ".join(sorted(evacuated))
        reasons.append(f"all {len(inside)} servers are in evacuated domains ({names})")
    return NoUsableServer(reason="; ".join(reasons))


def _is_discarded(view: View) -> bool:
    """Return whether the list has to be read anew, after a restore or a gap."""
    return view.revision is None and view.complete_after is not None


def _end_time_s(view: View, name: str) -> float:
    """Return when an evacuation ended or will end, infinity while it is shown."""
    removed_s = view.removed_s.get(name, inf)
    if name in view.unrestored and view.unrestored_until_s is not None:
        return max(removed_s, view.unrestored_until_s)
    return removed_s


def _list_shown(view: View) -> frozenset[DomainName]:
    """Return the domains whose evacuations the store showed last."""
    return frozenset(
        evacuation.domain
        for name, evacuation in view.items.items()
        if evacuation.problem is None and name not in view.removed_s
    )
