"""Report which failure domains are evacuated, and unknown names of places."""

from math import inf

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, EVACUATION_FEED, SERVER_FEED
from ..decisions.places import list_evacuated, list_unknown_regions, next_resume_s
from ..records import DomainName, Evacuation, PlaceStep, PublishedHost, RegionMap
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .peers import is_known_domain

__all__ = ["PlaceReporter"]

CHECK_INTERVAL_S = 1.0  # until a name of an evacuation is found to be that of a domain


@define(kw_only=True, eq=False)
class PlaceReporter:
    """Record when a domain's servers go out of use and come back; write no region."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    own_host: PublishedHost
    regions: RegionMap
    name: str = "place_reporter"
    watches = (EVACUATION_FEED, CONFIGURATION)
    _evacuated: frozenset[DomainName] = field(default=frozenset(), init=False)
    _reported: set[Evacuation] = field(factory=set, init=False)
    _version: int = field(default=0, init=False)
    _unknown_regions: frozenset[str] = field(default=frozenset(), init=False)

    def step(self) -> float | None:
        """Record what has changed; return seconds until the next check."""
        self._report_unknown_regions()
        now_s = self.clock.monotonic_s()
        view = self.board.read(EVACUATION_FEED)
        listed = list_evacuated(view, now_s=now_s)
        known = frozenset(
            domain
            for domain in listed
            if is_known_domain(self.board, self.own_host, domain)
        )
        for domain in sorted(known - self._evacuated):
            self._record(domain, "evacuated", f"store revision {view.revision}")
        for domain in sorted(self._evacuated - known):
            self._record(domain, "in use", f"store revision {view.revision}")
        self._evacuated = known
        # Before the servers are listed, a name may be that of a domain.
        is_listed = self.board.read(SERVER_FEED).confirmed_s is not None
        for name, evacuation in view.items.items():
            is_unknown = evacuation.domain in listed - known and is_listed
            if name not in view.removed_s and (evacuation.problem or is_unknown):
                self._report_invalid(evacuation)
        next_s = next_resume_s(view, now_s=now_s) - now_s
        if listed != known:
            next_s = min(next_s, CHECK_INTERVAL_S)
        return None if next_s == inf else next_s

    def _report_invalid(self, evacuation: Evacuation) -> None:
        if evacuation in self._reported:
            return
        self._reported.add(evacuation)
        problem = evacuation.problem or "neither hosts nor servers are in such a domain"
        self._record(evacuation.domain, "ignored", problem)

    def _report_unknown_regions(self) -> None:
        cfg = self.board.read(CONFIGURATION)
        if cfg.version == self._version:
            return
        self._version = cfg.version
        unknown = list_unknown_regions(cfg, self.regions)
        for region in sorted(unknown - self._unknown_regions):
            evidence = f"configuration version {cfg.version}: no domain is in it"
            self._record(region, "unknown region", evidence)
        self._unknown_regions = unknown

    def _record(self, place: str, state: str, evidence: str) -> None:
        self.metrics.count("place_steps", state.replace(" ", "_"))
        step = PlaceStep(
            at_wall_s=self.clock.wall_s(), place=place, state=state, evidence=evidence
        )
        self.event_recorder.record(step)
