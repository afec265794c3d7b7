"""Bring the highest accepted configuration into force."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, PEER_VIEW, PLATFORM_CONFIGURATION
from ..decisions.membership import merge_sightings
from ..decisions.rules import (
    ParsedRules,
    RuleProblems,
    make_configuration,
    parse_rules,
)
from ..records import ConfigurationStep, Sighting
from ..utils import Clock
from .historian import Historian

__all__ = ["Configurator"]


@define(kw_only=True, eq=False)
class Configurator:
    """Write the configuration region; versions only rise."""

    board: Board
    clock: Clock
    historian: Historian
    name: str = "configurator"
    watches = (PLATFORM_CONFIGURATION, PEER_VIEW)
    _refused_version: int = 0

    def step(self) -> None:
        """Apply the newest sighting if it is newer than what is in force."""
        seen = merge_sightings(
            self.board.read(PLATFORM_CONFIGURATION),
            self.board.read(PEER_VIEW).configuration,
        )
        held = self.board.read(CONFIGURATION).version
        if seen is None or seen.version <= max(held, self._refused_version):
            return
        self._apply(seen)

    def _apply(self, seen: Sighting) -> None:
        match parse_rules(seen.content):
            case ParsedRules() as parsed:
                rules = tuple(placed.rule for placed in parsed.rules)
                cfg = make_configuration(rules, seen.version)
                self.board.write(CONFIGURATION, cfg, writer=self.name)
                self._record(seen.version, "in force")
            case RuleProblems(problems=problems):
                self._refused_version = seen.version
                first = problems[0]
                self._record(
                    seen.version,
                    f"refused: line {first.line}: {first.reason}; last good kept",
                )

    def _record(self, version: int, evidence: str) -> None:
        event = ConfigurationStep(
            at_wall_s=self.clock.wall_s(), version=version, evidence=evidence
        )
        self.historian.record(event)
