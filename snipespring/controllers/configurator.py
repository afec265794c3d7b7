"""Activate the newest valid configuration."""

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    REFUSED_CONFIGURATION,
    STORED_SEGMENTS,
)
from ..decisions.rules import (
    CheckedRules,
    ParsedSegment,
    RootRecord,
    RuleProblems,
    assemble_rules,
    list_missing_segments,
    make_configuration,
    parse_segment,
)
from ..frontends.fleet_objects import decode_root
from ..records import (
    ConfigurationStep,
    ObservedObject,
    RefusedConfiguration,
    StoredSegments,
)
from ..utils import Clock
from .historian import EventRecorder
from .observations import read_newest_configuration

__all__ = ["Configurator"]


@define(kw_only=True, eq=False)
class Configurator:
    """Write the configuration and the refused version; versions never decrease."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    name: str = "configurator"
    watches = (PLATFORM_CONFIGURATION, PEER_VIEW, STORED_SEGMENTS)
    _parsed: dict[str, ParsedSegment] = field(factory=dict, init=False)

    def step(self) -> None:
        """Apply the newest observed version if it is newer than the active one."""
        observed = read_newest_configuration(self.board)
        active = self.board.read(CONFIGURATION).version
        refused = self.board.read(REFUSED_CONFIGURATION).version
        if observed is None or observed.version <= max(active, refused):
            return
        self._apply(observed)

    def _apply(self, observed: ObservedObject) -> None:
        root = decode_root(observed.content, version=observed.version)
        if root is None:
            self._refuse(observed.version, "malformed root record")
            return
        segments = self.board.read(STORED_SEGMENTS)
        if list_missing_segments(root, segments.by_digest):
            return
        self._parse_segments(root, segments)
        match assemble_rules(root, segments.by_digest, self._parsed):
            case CheckedRules(rules=placed_rules):
                rules = (entry.rule for entry in placed_rules)
                cfg = make_configuration(rules, root.version)
                self.board.write(CONFIGURATION, cfg, writer=self.name)
                self._record(root.version, "active")
            case RuleProblems(problems=problems):
                first = problems[0]
                self._refuse(root.version, f"line {first.line}: {first.reason}")

    def _parse_segments(self, root: RootRecord, segments: StoredSegments) -> None:
        """Parse the segments that changed and drop those not named by the root."""
        self._parsed = {
            digest: self._parsed.get(digest)
            or parse_segment(segments.by_digest[digest])
            for digest in root.digests
        }

    def _refuse(self, version: int, reason: str) -> None:
        refused = RefusedConfiguration(version=version, reason=reason)
        self.board.write(REFUSED_CONFIGURATION, refused, writer=self.name)
        self._record(version, f"refused: {reason}; the last valid version stays active")

    def _record(self, version: int, evidence: str) -> None:
        event = ConfigurationStep(
            at_wall_s=self.clock.wall_s(), version=version, evidence=evidence
        )
        self.event_recorder.record(event)
