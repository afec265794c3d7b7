"""Write rules to the platform by conditional update."""

from attrs import define, field, frozen

from ..frontends.platform import CONFIGURATION_OBJECT, Platform
from ..records import (
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    WriteUncertain,
)

__all__ = [
    "Accepted",
    "Applier",
    "Conflicted",
    "NothingHeld",
    "RulesHeld",
    "Unreachable",
]


@frozen(kw_only=True)
class RulesHeld:
    """Hold the rules text in the platform."""

    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class NothingHeld:
    """State that the platform holds no rules."""


@frozen(kw_only=True)
class Accepted:
    """State that the platform holds the rules as this version."""

    version: int


@frozen(kw_only=True)
class Conflicted:
    """State that another edit came first."""

    held: RulesHeld


@frozen(kw_only=True)
class Unreachable:
    """State that the platform was away; nothing is known to have changed."""

    reason: str


@define(kw_only=True, eq=False)
class Applier:
    """Read and write the rules; settle a lost answer by reading again."""

    platform: Platform

    def read(self) -> RulesHeld | NothingHeld | Unreachable:
        """Return what the platform holds."""
        match self.platform.read(CONFIGURATION_OBJECT):
            case ObjectRead(version=version, content=content):
                return RulesHeld(version=version, content=content)
            case ObjectAbsent():
                return NothingHeld()
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case ObjectUnchanged():
                return Unreachable(reason="the platform answered a read as a watch")

    def apply(
        self, content: bytes, *, expected: int | None
    ) -> Accepted | Conflicted | Unreachable:
        """Write the rules on top of `expected`, or of what is held now."""
        if expected is None:
            match self.read():
                case RulesHeld(version=version):
                    expected = version
                case NothingHeld():
                    expected = 0
                case Unreachable() as away:
                    return away
        match self.platform.write(CONFIGURATION_OBJECT, content, expected=expected):
            case ObjectWritten(version=version):
                return Accepted(version=version)
            case ObjectConflict():
                return self._conflict()
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case WriteUncertain(reason=reason):
                return self._settle(content, expected, reason)

    def _settle(
        self, content: bytes, expected: int, reason: str
    ) -> Accepted | Conflicted | Unreachable:
        match self.read():
            case RulesHeld(version=version, content=held) if held == content:
                return Accepted(version=version)
            case RulesHeld(version=version) as held if version != expected:
                return Conflicted(held=held)
            case _:
                return Unreachable(reason=f"not accepted: {reason}")

    def _conflict(self) -> Conflicted | Unreachable:
        match self.read():
            case RulesHeld() as held:
                return Conflicted(held=held)
            case NothingHeld():
                return Conflicted(held=RulesHeld(version=0, content=b""))
            case Unreachable() as away:
                return away
