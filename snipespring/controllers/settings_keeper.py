"""Reload the settings file when it changes."""

import logging
from pathlib import Path

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import SETTINGS
from ..settings import GatewaySettings, SettingsProblems, load_gateway_settings

__all__ = ["SettingsReloader"]

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class SettingsReloader:
    """Reload the settings file into the settings region of the blackboard.

    Changed listen addresses apply from the next start.
    """

    board: Board
    path: Path
    name: str = "settings_keeper"
    _stamp: tuple[int, int] | None = field(default=None, init=False)

    def check(self, *, is_requested: bool = False) -> None:
        """Reload the file if it has changed or a signal requests it.

        Invalid settings are logged, and the previous ones stay active.
        """
        stamp = self._read_stamp()
        if stamp == self._stamp and not is_requested:
            return
        is_first_check, self._stamp = self._stamp is None, stamp
        if is_first_check and not is_requested:
            return
        match load_gateway_settings(self.path):
            case SettingsProblems(problems=problems):
                reasons = [str(problem) for problem in problems]
                log.warning(
                    "settings refused, the old ones stay", extra={"why": reasons}
                )
            case GatewaySettings() as settings:
                self._apply(settings)

    def _apply(self, settings: GatewaySettings) -> None:
        old = self.board.read(SETTINGS)
        self.board.write(SETTINGS, settings, writer=self.name)
        logging.getLogger().setLevel(settings.log.level.upper())
        has_new_address = old is not None and old.listen != settings.listen
        log.info("settings reloaded", extra={"listen_ignored": has_new_address})

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            stat = self.path.stat()
        except OSError:
            return self._stamp
        return (stat.st_mtime_ns, stat.st_size)
