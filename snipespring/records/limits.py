"""Hold the answers to whether a request lies inside its organisation's rate."""

from attrs import frozen

__all__ = ["Admission", "Admitted", "OverLimit"]


@frozen(kw_only=True)
class Admitted:
    """State that the request was paid for from the organisation's share."""


@frozen(kw_only=True)
class OverLimit:
    """State why the request is refused and when it may be tried again."""

    reason: str
    retry_after_s: float


Admission = Admitted | OverLimit
