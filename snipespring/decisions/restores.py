"""Keep what is in force when the store returns from a backup.

After a restore the store may show entries as they were some seconds before, and lacks
those that were written since until they are written again.
"""

from collections.abc import Iterable
from typing import Any, TypeVar

from attrs import evolve, frozen
from immutables import Map

from ..records import (
    Configuration,
    FeedView,
    InvalidItem,
    PublishedServer,
    ServerWithdrawal,
)

__all__ = [
    "AdoptedEntry",
    "KeptEntry",
    "RefusedEntry",
    "begin_era",
    "is_born_later",
    "is_store_behind",
    "judge_entry",
    "list_withdrawals",
    "merge_withdrawals",
    "newest_version",
    "withdraw",
]

# Withdrawn servers that fit into one datagram beside the changes.
MAX_WITHDRAWALS = 256
# The removal time of servers that another host knows as withdrawn. It precedes every
# restore, so that they get no time of grace after one.
BEFORE_ANY_RESTORE_S = 0.0

T = TypeVar("T")


@frozen(kw_only=True)
class AdoptedEntry:
    """Use an entry of the store, with the content to use for it."""

    content: Any


@frozen(kw_only=True)
class RefusedEntry:
    """Treat an entry as removed, with `is_withdrawn` though the store shows it."""

    reason: str
    is_withdrawn: bool = False


@frozen(kw_only=True)
class KeptEntry:
    """Keep the known state, which is newer than the entry.

    `withdrawn_ms` is the `born_ms` of a server whose place the known one took.
    """

    reason: str
    withdrawn_ms: int | None = None


def begin_era(
    view: FeedView[T],
    era: int,
    *,
    recovered_s: float | None,
    grace_s: float,
    now_s: float,
) -> FeedView[T]:
    """Return the feed at the first listing after a restore, before its entries.

    Servers that left or drain are withdrawn. Those found missing within `grace_s`
    seconds after an outage that ended at `recovered_s` may have lapsed in it; they stay
    out of use but may return. The same holds for those not shown since an earlier
    restore whose time is over. All others are in use for `grace_s` more seconds.
    """
    until_s = view.unrestored_until_s
    is_overdue = until_s is not None and now_s >= until_s
    ends_s = tuple(end for end in (recovered_s, view.restored_s) if end is not None)
    withdrawn, unrestored = view.withdrawn, set()
    for name, content in view.items.items():
        removed_s = view.removed_s.get(name)
        is_unrestored = name in view.unrestored
        match content:
            case PublishedServer(is_draining=True, born_ms=born_ms):
                withdrawn = withdraw(withdrawn, name, born_ms)
            case _ if removed_s is None or (is_unrestored and not is_overdue):
                unrestored.add(name)
            case _ if is_unrestored or any(
                end_s <= removed_s < end_s + grace_s for end_s in ends_s
            ):
                continue
            case PublishedServer(born_ms=born_ms):
                withdrawn = withdraw(withdrawn, name, born_ms)
    return evolve(
        view,
        era=era,
        revision=None,
        complete_after=None,
        changed=Map(),
        withdrawn=withdrawn,
        refused=frozenset(),
        unrestored=frozenset(unrestored),
        restored_s=now_s,
        unrestored_until_s=now_s + grace_s,
    )


def judge_entry(
    view: FeedView[T],
    name: str,
    content: Any,
) -> AdoptedEntry | RefusedEntry | KeptEntry:
    """Return whether an entry of the store is used beside what is known."""
    floor_ms = view.withdrawn.get(name, -1)
    known = view.items.get(name)
    match content, known:
        case None, _:
            return RefusedEntry(reason="removed")
        case InvalidItem(reason=reason), _:
            return RefusedEntry(reason=reason)
        case PublishedServer(born_ms=born_ms), PublishedServer(born_ms=known_ms) if (
            born_ms < known_ms and name in view.unrestored
        ):
            return KeptEntry(
                reason=f"born {born_ms}, before the known {known_ms}",
                withdrawn_ms=born_ms,
            )
        case PublishedServer(is_draining=False, born_ms=born_ms), _ if (
            born_ms <= floor_ms
        ):
            return RefusedEntry(
                reason="left or drained before the store was restored",
                is_withdrawn=True,
            )
        case (
            PublishedServer(is_draining=False, born_ms=born_ms) as server,
            PublishedServer(is_draining=True, born_ms=known_ms),
        ) if born_ms == known_ms:
            return AdoptedEntry(content=evolve(server, is_draining=True))
        case Configuration(version=version), Configuration(version=known_version) if (
            version < known_version
        ):
            return KeptEntry(
                reason=f"version {version} is older than the known {known_version}"
            )
        case _:
            return AdoptedEntry(content=content)


def is_born_later(view: FeedView[T], name: str, content: Any) -> bool:
    """Return whether a server was withdrawn before and the entry is a later one."""
    match content:
        case PublishedServer(born_ms=born_ms):
            return born_ms > view.withdrawn.get(name, born_ms)
        case _:
            return False


def is_store_behind(view: FeedView[T]) -> bool:
    """Return whether the store has lost a configuration that a host knows.

    Its answers then confirm nothing.
    """
    return newest_version(view) < view.stated_version or any(
        isinstance(view.items.get(name), Configuration) for name in view.unrestored
    )


def newest_version(view: FeedView[T]) -> int:
    """Return the newest known version of the configuration, 0 for none."""
    return max((_version_of(content) for content in view.items.values()), default=0)


def list_withdrawals(
    view: FeedView[PublishedServer], names: Iterable[str]
) -> tuple[ServerWithdrawal, ...]:
    """Return the withdrawn ones of some servers, those removed last first."""
    found = sorted(
        (name for name in names if name in view.withdrawn),
        key=lambda name: (-view.removed_s.get(name, 0.0), name),
    )
    return tuple(
        ServerWithdrawal(name=name, born_ms=view.withdrawn[name])
        for name in found[:MAX_WITHDRAWALS]
    )


def merge_withdrawals(
    view: FeedView[PublishedServer],
    withdrawals: tuple[ServerWithdrawal, ...],
) -> FeedView[PublishedServer]:
    """Return the feed without the servers that another host knows as withdrawn."""
    withdrawn, removed, unrestored = view.withdrawn, view.removed_s, view.unrestored
    refused = view.refused
    for withdrawal in withdrawals:
        name, born_ms = withdrawal.name, withdrawal.born_ms
        known = view.items.get(name)
        withdrawn = withdraw(withdrawn, name, born_ms)
        if known is not None and known.born_ms > born_ms:
            continue
        # The store does not show a server that has left or is not known; other hosts
        # have to be told so.
        if known is not None and (name not in removed or name in unrestored):
            refused |= {name}
        unrestored -= {name}
        if known is not None and name not in removed:
            removed = removed.set(name, BEFORE_ANY_RESTORE_S)
    if withdrawn == view.withdrawn and removed == view.removed_s:
        return view
    return evolve(
        view,
        withdrawn=withdrawn,
        refused=refused,
        removed_s=removed,
        unrestored=unrestored,
    )


def withdraw(withdrawn: Map[str, int], name: str, born_ms: int) -> Map[str, int]:
    """Return the withdrawn servers with a process and those before it."""
    return withdrawn.set(name, max(born_ms, withdrawn.get(name, born_ms)))


def _version_of(content: Any) -> int:
    match content:
        case Configuration(version=version):
            return version
        case _:
            return 0
