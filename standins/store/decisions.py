"""Compute the answer to each call to the store and the state after it."""

import json
from typing import Any

from attrs import evolve

from ..board import Transition
from .records import (
    Backup,
    Change,
    CreateObject,
    DelayedWrites,
    DeleteObject,
    ListObjects,
    LostAnswers,
    NoFault,
    ObjectKey,
    ReadObject,
    RejectedCalls,
    ReplaceObject,
    StoreCall,
    StoredObject,
    StoreFault,
    StoreState,
    Unavailable,
    Unresponsive,
    WatchObjects,
)

__all__ = [
    "MAX_PAGE_OBJECTS",
    "apply",
    "back_up",
    "compact",
    "count_call",
    "has_changes",
    "is_unavailable",
    "is_write",
    "restore",
    "set_fault",
]

MAX_PAGE_OBJECTS = 50
MAX_VALUE_BYTES = 1048576
OK, CREATED, NOT_FOUND, CONFLICT, GONE, TOO_LARGE = 200, 201, 404, 409, 410, 413

StoreStep = Transition[StoreState, tuple[int, Any]]


def apply(state: StoreState, call: StoreCall) -> StoreStep:
    """Return the status and content that answer a call, and the state after it."""
    match call:
        case ListObjects():
            return Transition(state=state, answer=(OK, _list_objects(state, call)))
        case ReadObject(key=key) if key in state.objects:
            return Transition(
                state=state, answer=(OK, _encode_object(state.objects[key]))
            )
        case ReadObject():
            return Transition(state=state, answer=(NOT_FOUND, None))
        case WatchObjects(after=after) if not _has_revision(state, after):
            return Transition(state=state, answer=(GONE, None))
        case WatchObjects():
            return Transition(state=state, answer=(OK, _list_changes(state, call)))
        case CreateObject(key=key) if key in state.objects:
            return _make_conflict(state, key)
        case CreateObject(spec=spec) | ReplaceObject(content=spec) if _is_too_large(
            spec
        ):
            return Transition(state=state, answer=(TOO_LARGE, None))
        case CreateObject(key=key, spec=spec):
            created = state.revision + 1
            obj = StoredObject(key=key, revision=created, created=created, spec=spec)
            return _store(state, obj, CREATED)
        case ReplaceObject(key=key) | DeleteObject(key=key) if key not in state.objects:
            return Transition(state=state, answer=(NOT_FOUND, None))
        case (
            ReplaceObject(expected_revision=expected, key=key)
            | DeleteObject(expected_revision=expected, key=key)
        ):
            if expected not in (None, state.objects[key].revision):
                return _make_conflict(state, key)
            return _apply_change(state, call)


def has_changes(state: StoreState, call: WatchObjects) -> bool:
    """Return whether a watch can be answered before its wait time ends."""
    if not _has_revision(state, call.after):
        return True
    return any(_matches(change, call) for change in state.history)


def is_unavailable(state: StoreState) -> bool:
    """Return whether calls and waiting watches currently get no answer."""
    return isinstance(state.fault, Unavailable)


def is_write(call: StoreCall) -> bool:
    """Return whether the call may change an object."""
    return isinstance(call, CreateObject | ReplaceObject | DeleteObject)


def count_call(state: StoreState, call: StoreCall) -> Transition[StoreState, None]:
    """Return the state with one more call counted."""
    counts = state.counts
    match state.fault, call:
        case ((Unavailable() | RejectedCalls() | Unresponsive()), _):
            counts = evolve(counts, refused=counts.refused + 1)
        case _, WatchObjects():
            counts = evolve(counts, watches=counts.watches + 1)
        case _, ListObjects() | ReadObject():
            counts = evolve(counts, reads=counts.reads + 1)
        case _, CreateObject() | ReplaceObject() | DeleteObject():
            counts = evolve(counts, writes=counts.writes + 1)
    return Transition(state=evolve(state, counts=counts), answer=None)


def set_fault(state: StoreState, fault: StoreFault) -> Transition[StoreState, None]:
    """Replace the fault."""
    return Transition(state=evolve(state, fault=fault), answer=None)


def compact(state: StoreState) -> Transition[StoreState, None]:
    """Discard the history of changes and wake the watches of all stored kinds."""
    compacted = evolve(state, history=(), compacted_revision=state.revision)
    topics = frozenset(key.kind for key in state.objects)
    return Transition(state=compacted, answer=None, topics=topics)


def back_up(state: StoreState) -> Transition[StoreState, None]:
    """Copy the objects for a later restore."""
    backup = Backup(revision=state.revision, objects=state.objects)
    return Transition(state=evolve(state, backup=backup), answer=None)


def restore(state: StoreState) -> Transition[StoreState, None]:
    """Return to the backup in a new era; revisions after it are issued again."""
    backup = state.backup
    restored = evolve(
        state,
        era=state.era + 1,
        revision=backup.revision,
        objects=backup.objects,
        history=(),
        compacted_revision=backup.revision,
    )
    return Transition(state=restored, answer=None)


def _has_revision(state: StoreState, revision: int) -> bool:
    return state.compacted_revision <= revision <= state.revision


def _apply_change(state: StoreState, call: ReplaceObject | DeleteObject) -> StoreStep:
    current = state.objects[call.key]
    match call:
        case DeleteObject():
            return _remove(state, current)
        case ReplaceObject(content=content, is_status=True) if (
            current.status == content
        ):
            return Transition(state=state, answer=(OK, _encode_object(current)))
        case ReplaceObject(content=content, is_status=False) if current.spec == content:
            return Transition(state=state, answer=(OK, _encode_object(current)))
        case ReplaceObject(content=content, is_status=True):
            new = evolve(current, status=content, revision=state.revision + 1)
        case ReplaceObject(content=content):
            new = evolve(current, spec=content, revision=state.revision + 1)
    return _store(state, new, OK)


def _store(state: StoreState, obj: StoredObject, status: int) -> StoreStep:
    change = Change(revision=obj.revision, obj=obj)
    objects = state.objects.set(obj.key, obj)
    return _record_change(state, change, objects, (status, _encode_object(obj)))


def _remove(state: StoreState, current: StoredObject) -> StoreStep:
    removed = evolve(current, revision=state.revision + 1)
    change = Change(revision=removed.revision, obj=removed, is_removed=True)
    return _record_change(
        state, change, state.objects.delete(current.key), (OK, _encode_object(removed))
    )


def _record_change(
    state: StoreState, change: Change, objects: Any, answer: tuple[int, Any]
) -> StoreStep:
    fault = state.fault
    match fault:
        case (
            LostAnswers(remaining_writes=writes)
            | DelayedWrites(remaining_writes=writes)
        ):
            fault = (
                evolve(fault, remaining_writes=writes - 1) if writes > 1 else NoFault()
            )
        case _:
            pass
    new = evolve(
        state,
        revision=change.revision,
        objects=objects,
        history=(*state.history, change),
        fault=fault,
    )
    return Transition(state=new, answer=answer, topics=frozenset({change.obj.key.kind}))


def _is_too_large(spec: Any) -> bool:
    return len(json.dumps(spec)) > MAX_VALUE_BYTES


def _make_conflict(state: StoreState, key: ObjectKey) -> StoreStep:
    return Transition(
        state=state, answer=(CONFLICT, _encode_object(state.objects[key]))
    )


def _list_objects(state: StoreState, call: ListObjects) -> dict[str, Any]:
    found = sorted(
        (obj for key, obj in state.objects.items() if key.kind == call.kind),
        key=lambda obj: obj.key.name,
    )
    later = [obj for obj in found if obj.key.name > call.after]
    return {
        "items": [_encode_object(obj) for obj in later[:MAX_PAGE_OBJECTS]],
        "HasMore": len(later) > MAX_PAGE_OBJECTS,
        "StoreRevision": state.revision,
    }


def _list_changes(state: StoreState, call: WatchObjects) -> dict[str, Any]:
    found = [change for change in state.history if _matches(change, call)]
    return {
        "events": [
            {"Deleted": change.is_removed, "Object": _encode_object(change.obj)}
            for change in found
        ],
        "StoreRevision": state.revision,
    }


def _matches(change: Change, call: WatchObjects) -> bool:
    return change.obj.key.kind == call.kind and change.revision > call.after


def _encode_object(obj: StoredObject) -> dict[str, Any]:
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
