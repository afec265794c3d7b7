"""List the regions about claimed keys."""

from ...records import ClaimMemory, PendingReports, RosterTenure
from ..region import Region

__all__ = ["CLAIM_MEMORY", "CLAIM_REPORTS", "TENURE"]

CLAIM_MEMORY = Region[ClaimMemory](
    name="claim_memory", writer="claim_owner", initial=ClaimMemory()
)
CLAIM_REPORTS = Region[PendingReports](
    name="claim_reports", writer="claimant", initial=PendingReports()
)
TENURE = Region[RosterTenure](
    name="tenure", writer="tenure_keeper", initial=RosterTenure()
)
