"""Decide what each call to the platform answers and changes."""

from attrs import evolve

from ..board import Step
from .records import (
    Absent,
    Admission,
    Admitted,
    Away,
    Call,
    Conflict,
    Counts,
    DeleteObject,
    Entry,
    Faults,
    Found,
    HostList,
    HostNames,
    ListHosts,
    Listing,
    ListObjects,
    NoAnswer,
    Outcome,
    PlatformState,
    ReadObject,
    Refused,
    Slow,
    StoredObject,
    TooLarge,
    Unchanged,
    Up,
    WatchObject,
    WriteObject,
    Written,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "admit",
    "apply",
    "delay_s",
    "interrupted",
    "set_faults",
    "set_hosts",
    "watch_ended",
]

MAX_VALUE_BYTES = 1048576
NEVER_WRITTEN = StoredObject(version=0, value=None)

PlatformStep = Step[PlatformState, Outcome]


def interrupted(state: PlatformState, admitted: Admitted) -> bool:
    """Return whether an outage began after the call was admitted."""
    return state.outages != admitted.outages


def delay_s(state: PlatformState) -> float:
    """Return the delay before each call, in seconds."""
    match state.faults.mode:
        case Slow(delay_s=delay):
            return delay
        case Up() | Away():
            return 0.0


def admit(state: PlatformState, call: Call) -> Step[PlatformState, Admission]:
    """Count the call and answer whether the platform takes it."""
    match state.faults.mode:
        case Away():
            refused = state.counts.refused + 1
            counts = evolve(state.counts, refused=refused)
            return Step(state=evolve(state, counts=counts), answer=Refused())
        case Up() | Slow():
            counts = _count(state.counts, call)
            admitted = Admitted(outages=state.outages)
            return Step(state=evolve(state, counts=counts), answer=admitted)


def apply(
    state: PlatformState, call: Call, admitted: Admitted, *, now_s: float
) -> PlatformStep:
    """Return the outcome of an admitted call and the state after it."""
    if interrupted(state, admitted):
        return Step(state=state, answer=NoAnswer())
    match call:
        case ReadObject(name=name):
            return Step(state=state, answer=_read(_stored(state, name)))
        case WatchObject():
            return Step(state=state, answer=_watch(state, call))
        case WriteObject(value=value) if len(value) > MAX_VALUE_BYTES:
            return Step(state=state, answer=TooLarge())
        case WriteObject(name=name, if_version=expected, value=value):
            return _replace(state, name, expected, value)
        case DeleteObject(name=name, if_version=0):
            version = _visible_version(_stored(state, name))
            return Step(state=state, answer=Conflict(version=version))
        case DeleteObject(name=name, if_version=expected):
            return _replace(state, name, expected, None)
        case ListObjects(prefix=prefix):
            return Step(state=state, answer=_list(state, prefix))
        case ListHosts():
            names = _visible_names(state.hosts, now_s)
            return Step(state=state, answer=HostNames(names=names))


def watch_ended(state: PlatformState, call: WatchObject) -> bool:
    """Return whether a watch has something to answer before its timeout."""
    return _stored(state, call.name).version > call.after_version


def set_faults(state: PlatformState, faults: Faults) -> Step[PlatformState, None]:
    """Replace the faults; a change to away interrupts the calls under way."""
    match faults.mode:
        case Away():
            outages = state.outages + 1
        case Up() | Slow():
            outages = state.outages
    new = evolve(state, faults=faults, outages=outages)
    return Step(state=new, answer=None)


def set_hosts(
    state: PlatformState, names: tuple[str, ...], *, lag_s: float, now_s: float
) -> Step[PlatformState, None]:
    """Replace the host list, visible after the lag."""
    hosts = HostList(
        names=_visible_names(state.hosts, now_s),
        next_names=names,
        visible_at_s=now_s + lag_s,
    )
    return Step(state=evolve(state, hosts=hosts), answer=None)


def _count(counts: Counts, call: Call) -> Counts:
    match call:
        case WatchObject():
            return evolve(counts, watches=counts.watches + 1)
        case WriteObject() | DeleteObject():
            return evolve(counts, writes=counts.writes + 1)
        case ReadObject() | ListObjects() | ListHosts():
            return evolve(counts, reads=counts.reads + 1)


def _stored(state: PlatformState, name: str) -> StoredObject:
    return state.objects.get(name, NEVER_WRITTEN)


def _read(stored: StoredObject) -> Outcome:
    match stored:
        case StoredObject(version=version, value=bytes() as value):
            return Found(version=version, value=value)
        case StoredObject(version=version):
            return Absent(version=version)


def _watch(state: PlatformState, call: WatchObject) -> Outcome:
    if not watch_ended(state, call):
        return Unchanged()
    return _read(_stored(state, call.name))


def _visible_version(stored: StoredObject) -> int:
    return 0 if stored.value is None else stored.version


def _replace(
    state: PlatformState, name: str, expected: int, value: bytes | None
) -> PlatformStep:
    old = _stored(state, name)
    if _visible_version(old) != expected:
        return Step(state=state, answer=Conflict(version=_visible_version(old)))
    new = StoredObject(version=old.version + 1, value=value)
    lost = state.faults.lose_answers > 0
    left = max(0, state.faults.lose_answers - 1)
    return Step(
        state=evolve(
            state,
            objects=state.objects.set(name, new),
            faults=evolve(state.faults, lose_answers=left),
        ),
        answer=NoAnswer() if lost else Written(version=new.version),
        topics=frozenset({name}),
    )


def _list(state: PlatformState, prefix: str) -> Listing:
    entries = (
        Entry(name=name, version=stored.version)
        for name, stored in sorted(state.objects.items(), key=lambda item: item[0])
        if name.startswith(prefix) and stored.value is not None
    )
    return Listing(entries=tuple(entries))


def _visible_names(hosts: HostList, now_s: float) -> tuple[str, ...]:
    return hosts.next_names if now_s >= hosts.visible_at_s else hosts.names
