"""Keep the latest events and log changes of state."""

import logging

import attrs
from attrs import define, evolve

from ..blackboard import Board
from ..blackboard.regions import EVENTS
from ..frontends.outer_names import outer_field_name, outer_kind_name
from ..records import Event, Events, RequestRefused

__all__ = ["EventRecorder"]

MAX_EVENTS = 2000

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class EventRecorder:
    """Write the events region."""

    board: Board
    name: str = "historian"

    def record(self, event: Event) -> None:
        """Keep an event; log it unless it concerns a single request."""

        def add(events: Events) -> Events:
            return evolve(events, latest=(*events.latest, event)[-MAX_EVENTS:])

        self.board.update(EVENTS, add, writer=self.name)
        match event:
            case RequestRefused():
                return
            case _:
                _log_event(event)


def _log_event(event: Event) -> None:
    kind = type(event)
    values = attrs.asdict(event, recurse=False)
    fields = {outer_field_name(kind, key): str(val) for key, val in values.items()}
    log.info(outer_kind_name(kind), extra=fields)
