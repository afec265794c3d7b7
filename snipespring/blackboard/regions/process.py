"""Define the regions of events, counters, settings and the stop of this process."""

from ...records import Counters, Events, Serving, StopState
from ...settings import GatewaySettings
from ..region import Region

__all__ = ["COUNTERS", "EVENTS", "SETTINGS", "STOP_STATE"]

EVENTS = Region[Events](name="events", writer="historian", initial=Events())
COUNTERS = Region[Counters](name="counters", writer="accountant", initial=Counters())
STOP_STATE = Region[StopState](name="stop", writer="stopper", initial=Serving())
SETTINGS = Region[GatewaySettings | None](
    name="settings", writer="settings_keeper", initial=None
)
