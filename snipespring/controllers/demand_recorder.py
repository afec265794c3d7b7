"""Record the demand on services and the load that their servers report."""

from attrs import define
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import DEMAND_LOG, FLEET_VIEW, SERVER_LOADS
from ..decisions.overload import (
    add_demand,
    count_demand,
    count_first,
    count_offered,
    count_report,
    count_retry,
    level_of,
    sum_demand,
)
from ..decisions.routing import mean_work_s_of, service_load_of, work_s_of
from ..records import (
    BackendResult,
    DemandCounts,
    DemandLog,
    FleetView,
    ServiceDemand,
    ServiceName,
)
from ..utils import Clock

__all__ = ["DemandRecorder", "read_fresh_view"]

# An older view of the fleet is not used. It is reached when a digest is lost.
MAX_VIEW_AGE_S = 0.6


@define(kw_only=True, eq=False)
class DemandRecorder:
    """Write the demand log on the callers' threads.

    `window_s` is the length of the window in which retries are bounded.
    """

    board: Board
    clock: Clock
    window_s: float = 10.0
    name: str = "demand_recorder"

    def record_offered(self, service: ServiceName, route: str, urgency: int) -> int:
        """Count a request received and return its level."""
        load = service_load_of(self.board.read(SERVER_LOADS), service)
        work_s = work_s_of(load, route)
        level = level_of(urgency, work_s, mean_work_s_of(load))
        if work_s > 0.0:
            self._add(service, count_offered(level, work_s))
        return level

    def record_first(self, service: ServiceName, urgency: int) -> None:
        """Count a first attempt."""
        self._add(service, count_first(urgency))

    def record_retry(
        self, service: ServiceName, urgency: int, *, is_sent: bool
    ) -> None:
        """Count a retry that was asked for."""
        self._add(service, count_retry(urgency, is_sent=is_sent))

    def record_result(self, service: ServiceName, result: BackendResult) -> None:
        """Count the load that a server reported with its answer."""
        counts = count_report(result)
        if counts is not None:
            self._add(service, counts)

    def read_own(self, service: ServiceName) -> ServiceDemand:
        """Return this host's part of the demand on a service."""
        slices = self.board.read(DEMAND_LOG).by_service.get(service, ())
        own = count_demand(
            DemandLog(by_service=Map({service: slices})),
            window_s=self.window_s,
            now_s=self.clock.monotonic_s(),
        )
        return own[0] if own else ServiceDemand(service=service)

    def read_fleet(self, service: ServiceName) -> ServiceDemand | None:
        """Return the demand on a service by all heard hosts, None if it is too old."""
        view = read_fresh_view(self.board, self.clock)
        if view is None:
            return None
        others = view.demand.get(service, ServiceDemand(service=service))
        return sum_demand([(others,), (self.read_own(service),)])[0]

    def _add(self, service: ServiceName, counts: DemandCounts) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            DEMAND_LOG,
            lambda log: add_demand(
                log, service, counts, window_s=self.window_s, now_s=now_s
            ),
            writer=self.name,
        )


def read_fresh_view(board: Board, clock: Clock) -> FleetView | None:
    """Return the view of the fleet, None if it is too old to judge demand by."""
    view = board.read(FLEET_VIEW)
    if view.as_of_s is None or clock.monotonic_s() - view.as_of_s > MAX_VIEW_AGE_S:
        return None
    return view
