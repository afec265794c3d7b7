"""Define the regions of reports that hosts exchange by datagrams."""

from ...records import (
    AnswerLog,
    DemandLog,
    DomainHubs,
    DomainReports,
    FleetView,
    GrantLog,
    HubState,
    HubTenure,
    PendingOutcomes,
    UsageLog,
)
from ..region import Region

__all__ = [
    "ANSWER_LOG",
    "DEMAND_LOG",
    "DOMAIN_HUBS",
    "DOMAIN_REPORTS",
    "FAILURE_LOG",
    "FLEET_VIEW",
    "GRANT_LOG",
    "HUB_STATE",
    "IDLE_SHED_LOG",
    "HUB_TENURE",
    "PENDING_OUTCOMES",
    "USAGE_LOG",
]

ANSWER_LOG = Region[AnswerLog](
    name="answer_log", writer="health_keeper", initial=AnswerLog()
)
DEMAND_LOG = Region[DemandLog](
    name="demand_log", writer="demand_recorder", initial=DemandLog()
)
DOMAIN_HUBS = Region[DomainHubs](
    name="domain_hubs", writer="domain_link", initial=DomainHubs()
)
DOMAIN_REPORTS = Region[DomainReports](
    name="domain_reports", writer="domain_link", initial=DomainReports()
)
FAILURE_LOG = Region[AnswerLog](
    name="failure_log", writer="health_keeper", initial=AnswerLog()
)
FLEET_VIEW = Region[FleetView](
    name="fleet_view", writer="domain_link", initial=FleetView()
)
GRANT_LOG = Region[GrantLog](name="grant_log", writer="granter", initial=GrantLog())
HUB_STATE = Region[HubState](name="hub_state", writer="domain_link", initial=HubState())
IDLE_SHED_LOG = Region[AnswerLog](
    name="idle_shed_log", writer="health_keeper", initial=AnswerLog()
)
HUB_TENURE = Region[HubTenure](name="hub_tenure", writer="granter", initial=HubTenure())
PENDING_OUTCOMES = Region[PendingOutcomes](
    name="pending_outcomes", writer="outcome_relay", initial=PendingOutcomes()
)
USAGE_LOG = Region[UsageLog](
    name="usage_log", writer="usage_limiter", initial=UsageLog()
)
