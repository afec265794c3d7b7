"""Define the regions of reports that hosts exchange by datagrams."""

from ...records import AnswerLog, DomainReports, FleetView, UsageLog
from ..region import Region

__all__ = ["ANSWER_LOG", "DOMAIN_REPORTS", "FLEET_VIEW", "USAGE_LOG"]

ANSWER_LOG = Region[AnswerLog](
    name="answer_log", writer="health_keeper", initial=AnswerLog()
)
DOMAIN_REPORTS = Region[DomainReports](
    name="domain_reports", writer="domain_link", initial=DomainReports()
)
FLEET_VIEW = Region[FleetView](
    name="fleet_view", writer="domain_link", initial=FleetView()
)
USAGE_LOG = Region[UsageLog](
    name="usage_log", writer="usage_limiter", initial=UsageLog()
)
