"""Define the regions of organisations' limits."""

from ...records import CreditNeeds, ShareLedger
from ..region import Region

__all__ = ["CREDIT_NEEDS", "SHARE_LEDGER"]

SHARE_LEDGER = Region[ShareLedger](
    name="share_ledger", writer="share_book", initial=ShareLedger()
)
CREDIT_NEEDS = Region[CreditNeeds](
    name="credit_needs", writer="share_book", initial=CreditNeeds()
)
