"""Decide what each call to the store answers and changes."""

import json
from typing import Any

from attrs import evolve

from ..board import Step
from .records import (
    Away,
    Busy,
    Change,
    Create,
    Delaying,
    Delete,
    Key,
    ListKind,
    Losing,
    ReadOne,
    Replace,
    Silent,
    StoreCall,
    Stored,
    StoreFaults,
    StoreState,
    Up,
    WatchKind,
)

__all__ = [
    "PAGE_OBJECTS",
    "apply",
    "compact",
    "count_call",
    "has_changes",
    "is_broken_off",
    "is_write",
    "set_faults",
]

PAGE_OBJECTS = 50
MAX_VALUE_BYTES = 1048576
OK, CREATED, NOT_FOUND, CONFLICT, GONE, TOO_LARGE = 200, 201, 404, 409, 410, 413

StoreStep = Step[StoreState, tuple[int, Any]]


def apply(state: StoreState, call: StoreCall) -> StoreStep:
    """Return the status and content that answer a call, and the state after it."""
    match call:
        case ListKind():
            return Step(state=state, answer=(OK, _list(state, call)))
        case ReadOne(key=key) if key in state.objects:
            return Step(state=state, answer=(OK, _render(state.objects[key])))
        case ReadOne():
            return Step(state=state, answer=(NOT_FOUND, None))
        case WatchKind(after=after) if after < state.oldest:
            return Step(state=state, answer=(GONE, None))
        case WatchKind():
            return Step(state=state, answer=(OK, _list_changes(state, call)))
        case Create(key=key) if key in state.objects:
            return _conflict(state, key)
        case Create(spec=spec) | Replace(content=spec) if _is_too_large(spec):
            return Step(state=state, answer=(TOO_LARGE, None))
        case Create(key=key, spec=spec):
            created = state.revision + 1
            obj = Stored(key=key, revision=created, created=created, spec=spec)
            return _put(state, obj, CREATED)
        case Replace(key=key) | Delete(key=key) if key not in state.objects:
            return Step(state=state, answer=(NOT_FOUND, None))
        case Replace(expected=expected, key=key) | Delete(expected=expected, key=key):
            if expected not in (None, state.objects[key].revision):
                return _conflict(state, key)
            return _change(state, call)


def has_changes(state: StoreState, call: WatchKind) -> bool:
    """Return whether a watch has something to answer before its time is over."""
    if call.after < state.oldest:
        return True
    return any(_concerns(change, call) for change in state.history)


def is_broken_off(state: StoreState) -> bool:
    """Return whether calls and waiting watches get no answer now."""
    return isinstance(state.faults, Away)


def is_write(call: StoreCall) -> bool:
    """Return whether the call may change an object."""
    return isinstance(call, Create | Replace | Delete)


def count_call(state: StoreState, call: StoreCall) -> Step[StoreState, None]:
    """Return the state with one more call counted."""
    counts = state.counts
    match state.faults, call:
        case ((Away() | Busy() | Silent()), _):
            counts = evolve(counts, refused=counts.refused + 1)
        case _, WatchKind():
            counts = evolve(counts, watches=counts.watches + 1)
        case _, ListKind() | ReadOne():
            counts = evolve(counts, reads=counts.reads + 1)
        case _, Create() | Replace() | Delete():
            counts = evolve(counts, writes=counts.writes + 1)
    return Step(state=evolve(state, counts=counts), answer=None)


def set_faults(state: StoreState, faults: StoreFaults) -> Step[StoreState, None]:
    """Replace the faults."""
    return Step(state=evolve(state, faults=faults), answer=None)


def compact(state: StoreState) -> Step[StoreState, None]:
    """Forget the history."""
    forgot = evolve(state, history=(), oldest=state.revision)
    topics = frozenset(key.kind for key in state.objects)
    return Step(state=forgot, answer=None, topics=topics)


def _change(state: StoreState, call: Replace | Delete) -> StoreStep:
    held = state.objects[call.key]
    match call:
        case Delete():
            return _remove(state, held)
        case Replace(content=content, is_status=True) if held.status == content:
            return Step(state=state, answer=(OK, _render(held)))
        case Replace(content=content, is_status=False) if held.spec == content:
            return Step(state=state, answer=(OK, _render(held)))
        case Replace(content=content, is_status=True):
            new = evolve(held, status=content, revision=state.revision + 1)
        case Replace(content=content):
            new = evolve(held, spec=content, revision=state.revision + 1)
    return _put(state, new, OK)


def _put(state: StoreState, obj: Stored, status: int) -> StoreStep:
    change = Change(revision=obj.revision, obj=obj)
    objects = state.objects.set(obj.key, obj)
    return _record(state, change, objects, (status, _render(obj)))


def _remove(state: StoreState, held: Stored) -> StoreStep:
    gone = evolve(held, revision=state.revision + 1)
    change = Change(revision=gone.revision, obj=gone, is_removed=True)
    return _record(state, change, state.objects.delete(held.key), (OK, _render(gone)))


def _record(
    state: StoreState, change: Change, objects: Any, answer: tuple[int, Any]
) -> StoreStep:
    faults = state.faults
    match faults:
        case Losing(writes=writes) | Delaying(writes=writes):
            faults = evolve(faults, writes=writes - 1) if writes > 1 else Up()
        case _:
            pass
    new = evolve(
        state,
        revision=change.revision,
        objects=objects,
        history=(*state.history, change),
        faults=faults,
    )
    return Step(state=new, answer=answer, topics=frozenset({change.obj.key.kind}))


def _is_too_large(spec: Any) -> bool:
    return len(json.dumps(spec)) > MAX_VALUE_BYTES


def _conflict(state: StoreState, key: Key) -> StoreStep:
    return Step(state=state, answer=(CONFLICT, _render(state.objects[key])))


def _list(state: StoreState, call: ListKind) -> dict[str, Any]:
    found = sorted(
        (obj for key, obj in state.objects.items() if key.kind == call.kind),
        key=lambda obj: obj.key.name,
    )
    later = [obj for obj in found if obj.key.name > call.after]
    return {
        "items": [_render(obj) for obj in later[:PAGE_OBJECTS]],
        "HasMore": len(later) > PAGE_OBJECTS,
        "StoreRevision": state.revision,
    }


def _list_changes(state: StoreState, call: WatchKind) -> dict[str, Any]:
    found = [change for change in state.history if _concerns(change, call)]
    return {
        "events": [
            {"Deleted": change.is_removed, "Object": _render(change.obj)}
            for change in found
        ],
        "StoreRevision": state.revision,
    }


def _concerns(change: Change, call: WatchKind) -> bool:
    return change.obj.key.kind == call.kind and change.revision > call.after


def _render(obj: Stored) -> dict[str, Any]:
    return {
        "Metadata": {
            "Name": obj.key.name,
            "Revision": obj.revision,
            "Created": obj.created,
            "Finalizers": [],
            "DeletionTimestamp": False,
        },
        "Spec": obj.spec,
        "Status": obj.status,
    }
