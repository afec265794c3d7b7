"""Define the regions of claimed idempotency keys."""

from ...records import ClaimTable, PendingReports, RosterTenure
from ..region import Region

__all__ = ["CLAIM_TABLE", "PENDING_REPORTS", "ROSTER_TENURE"]

CLAIM_TABLE = Region[ClaimTable](
    name="claim_memory", writer="claim_owner", initial=ClaimTable()
)
PENDING_REPORTS = Region[PendingReports](
    name="claim_reports", writer="claimant", initial=PendingReports()
)
ROSTER_TENURE = Region[RosterTenure](
    name="tenure", writer="tenure_keeper", initial=RosterTenure()
)
