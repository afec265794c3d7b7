"""Decide which requests a host that is stopping still begins."""

from attrs import frozen

from ..records import Leaving, Serving, StopState

__all__ = ["BeginRequest", "RefuseRequest", "check_stop"]

# From the deadline of a request until its reply has left the host.
REPLY_MARGIN_S = 0.1


@frozen(kw_only=True)
class BeginRequest:
    """Begin the request."""


@frozen(kw_only=True)
class RefuseRequest:
    """Refuse the request at once, because the host could exit before its answer."""

    reason: str


def check_stop(
    stop: StopState, *, deadline_at_s: float, now_s: float
) -> BeginRequest | RefuseRequest:
    """Return whether to begin a request that has time until `deadline_at_s`.

    Both times are monotonic. A request is answered by its deadline, so one with an
    earlier deadline than the last reply of the host is always answered.
    """
    match stop:
        case Serving():
            return BeginRequest()
        case Leaving(finished=True):
            return RefuseRequest(reason="the host is stopping")
        case Leaving(lenient_until_s=lenient_until_s) if now_s < lenient_until_s:
            return BeginRequest()
        case Leaving(until_s=until_s) if deadline_at_s + REPLY_MARGIN_S > until_s:
            return RefuseRequest(
                reason=f"the host stops in {until_s - now_s:.1f} s, the request may "
                f"take {deadline_at_s - now_s:.1f} s"
            )
        case Leaving():
            return BeginRequest()
