"""Report whether this host accepts new requests, and what keeps it from doing so."""

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import STOP_STATE
from ..records import ReadinessStep
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .readiness import list_unready_reasons

__all__ = ["ReadinessReporter"]

CHECK_INTERVAL_S = 1.0


@define(kw_only=True, eq=False)
class ReadinessReporter:
    """Record changes of the host's readiness and of their reasons; write no region.

    Reasons that last less than `CHECK_INTERVAL_S` may be missed.
    """

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    name: str = "readiness_reporter"
    watches = (STOP_STATE,)
    _reported: tuple[str, ...] | None = field(default=None, init=False)

    def step(self) -> float:
        """Record a change since the last check; return seconds until the next."""
        reasons = list_unready_reasons(self.board, self.clock.monotonic_s())
        if reasons != self._reported:
            self._reported = reasons
            self._record(reasons)
        return CHECK_INTERVAL_S

    def _record(self, reasons: tuple[str, ...]) -> None:
        state = "not ready" if reasons else "ready"
        self.metrics.count("readiness_steps", state.replace(" ", "_"))
        step = ReadinessStep(
            at_wall_s=self.clock.wall_s(), state=state, evidence="; ".join(reasons)
        )
        self.event_recorder.record(step)
