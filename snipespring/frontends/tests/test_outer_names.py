"""Guard names that leave the process: a rename in the code must not change them.

Each file below `golden/` was written by the build that the fleet ran before.
"""

import ast
import json
import logging
from collections.abc import Iterator
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import attrs
import pytest
from cbor2 import dumps, loads
from immutables import Map

from snipespring.blackboard import Board, regions
from snipespring.controllers.historian import EventRecorder
from snipespring.decisions.rules import RootRecord
from snipespring.frontends import cbor, outer_names
from snipespring.frontends.datagrams import decode_datagram, encode_datagram
from snipespring.frontends.fleet_objects import (
    decode_root,
    decode_roster,
    encode_root,
    encode_roster,
)
from snipespring.frontends.operators.dump import dump_record
from snipespring.frontends.outer_names import outer_field_name, outer_kind_name
from snipespring.frontends.peers import decode_message, encode_message
from snipespring.frontends.peers.codec import DecodeFailed
from snipespring.records import (
    Configuration,
    DomainMessage,
    Event,
    Host,
    HostId,
    HostView,
    LeaseState,
    Message,
    ObservedObject,
    PublishedHost,
    PublishedServer,
    Roster,
    RosterChange,
    StopState,
)
from snipespring.settings import GatewaySettings, Settings

GOLDEN = Path(__file__).parent / "golden"
PACKAGE = Path(__file__).parents[2]
# Of regions whose first value does not tell the type of later ones.
LATER_RECORDS: tuple[Any, ...] = (
    Configuration,
    GatewaySettings,
    HostView,
    LeaseState,
    PublishedHost,
    PublishedServer,
    ObservedObject,
    StopState,
)
PLAIN: dict[Any, Any] = {
    bool: True,
    bytes: b"x",
    float: 0.25,
    int: 7,
    str: "a",
    NoneType: None,
}


def read_golden(name: str) -> list[str]:
    return (GOLDEN / name).read_text().splitlines()


def samples(kind: Any) -> list[Any]:
    """Return a value of a type for each variant that it has somewhere inside."""
    kind = getattr(kind, "__supertype__", kind)
    if kind in PLAIN:
        return [PLAIN[kind]]
    origin, args = get_origin(kind), get_args(kind)
    if origin in (Union, UnionType):
        return [value for arg in args for value in samples(arg)]
    if origin is tuple:
        return [(value,) for value in samples(args[0])]
    if origin is Map:
        key = samples(args[0])[0]
        return [Map({key: value}) for value in samples(args[1])]
    columns = {field.name: samples(field.type) for field in attrs.fields(kind)}
    first = {name: values[0] for name, values in columns.items()}
    found = [kind(**first)]
    for name, values in columns.items():
        found += [kind(**{**first, name: value}) for value in values[1:]]
    return found


def classes_in(kind: Any, seen: set[Any]) -> Iterator[Any]:
    if kind in seen:
        return
    seen.add(kind)
    for arg in get_args(kind):
        yield from classes_in(arg, seen)
    if isinstance(kind, type) and attrs.has(kind):
        yield kind
        for field in attrs.fields(kind):
            yield from classes_in(field.type, seen)


def dumped_classes() -> set[Any]:
    kinds = {type(getattr(regions, name).initial) for name in regions.__all__}
    seen: set[Any] = set()
    return {
        found for kind in (*kinds, *LATER_RECORDS) for found in classes_in(kind, seen)
    }


def written_messages() -> list[bytes]:
    return [encode_message(message) for message in samples(Message)]


def written_datagrams() -> list[bytes]:
    return [encode_datagram(message) for message in samples(DomainMessage)]


def written_objects() -> list[bytes]:
    host = samples(Host)[0]
    change = RosterChange(before=6, joined=(host,), left=(HostId("b"),))
    hosts = Map({host.host_id: host})
    return [
        encode_root(samples(RootRecord)[0]),
        encode_roster(Roster(version=7, hosts=hosts)),
        encode_roster(
            Roster(version=7, hosts=hosts, base_hosts=Map(), changes=(change,))
        ),
    ]


def metric_names() -> list[str]:
    """List counters and their labels; `*` stands for a label that varies."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(attr="count", value=ast.Attribute()),
                    args=[ast.Constant(value=str() as name), *labels],
                ):
                    found.add(f"{name} {_label_text(labels)}".rstrip())
    return sorted(found)


def _label_text(labels: list[ast.expr]) -> str:
    match labels:
        case [ast.Constant(value=str() as label), *_]:
            return label
        case [ast.JoinedStr(values=parts), *_]:
            fixed = (
                part.value if isinstance(part, ast.Constant) else "*" for part in parts
            )
            return "".join(str(text) for text in fixed)
        case [_, *_]:
            return "*"
        case _:
            return ""


def log_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    historian = EventRecorder(board=Board())
    bare = logging.makeLogRecord({}).__dict__
    with caplog.at_level(logging.INFO):
        for event in samples(Event):
            historian.record(event)
    return [
        json.dumps([line.name, line.message, sorted(set(line.__dict__) - set(bare))])
        for line in caplog.records
    ]


def settings_names(kind: Any, prefix: str) -> Iterator[str]:
    for found in [kind, *get_args(kind)]:
        if isinstance(found, type) and attrs.has(found):
            for field in attrs.fields(found):
                yield f"{prefix}{field.name}"
                yield from settings_names(field.type, f"{prefix}{field.name}.")


def test_messages_to_peers_are_written_as_before() -> None:
    assert [content.hex() for content in written_messages()] == read_golden("messages")


def test_messages_of_the_build_before_are_read() -> None:
    for line in read_golden("messages"):
        message = decode_message(bytes.fromhex(line))
        assert not isinstance(message, DecodeFailed)
        assert encode_message(message).hex() == line


def test_datagrams_are_written_as_before() -> None:
    assert [one.hex() for one in written_datagrams()] == read_golden("datagrams")


def test_datagrams_of_the_build_before_are_read() -> None:
    for line in read_golden("datagrams"):
        message = decode_datagram(bytes.fromhex(line))
        assert message is not None
        assert encode_datagram(message).hex() == line


def test_fleet_objects_are_written_as_before() -> None:
    assert [one.hex() for one in written_objects()] == read_golden("fleet_objects")


def test_fleet_objects_of_the_build_before_are_read() -> None:
    root, *rosters = (bytes.fromhex(line) for line in read_golden("fleet_objects"))
    held = decode_root(root, version=7)
    assert held is not None
    assert encode_root(held) == root
    for content in rosters:
        roster = decode_roster(content, version=7)
        assert roster is not None
        assert encode_roster(roster) == content


def test_events_are_shown_as_before() -> None:
    shown = [json.dumps(dump_record(event)) for event in samples(Event)]
    assert shown == read_golden("events")


def test_events_are_logged_as_before(caplog: pytest.LogCaptureFixture) -> None:
    assert log_lines(caplog) == read_golden("event_lines")


def test_the_state_dump_names_regions_as_before() -> None:
    names = sorted(getattr(regions, name).name for name in regions.__all__)
    assert names == read_golden("regions")


def test_the_state_dump_names_records_as_before() -> None:
    shown = sorted(
        " ".join(
            [
                outer_kind_name(kind),
                *(
                    outer_field_name(kind, one.name)
                    for one in attrs.fields(kind)
                    if one.repr
                ),
            ]
        )
        for kind in dumped_classes()
    )
    assert shown == read_golden("dumped_records")


def test_metrics_are_named_as_before() -> None:
    assert metric_names() == read_golden("metrics")


def test_settings_are_named_as_before() -> None:
    names = {*settings_names(Settings, "proxy "), *settings_names(GatewaySettings, "")}
    assert sorted(names) == read_golden("settings")


@attrs.frozen(kw_only=True)
class Renamed:
    inner: int


def test_a_renamed_field_keeps_its_outer_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(outer_names.FIELD_NAMES, Renamed, {"inner": "outer"})
    monkeypatch.setitem(outer_names.KIND_NAMES, Renamed, "Outer")
    converter = cbor.make_strict_converter()
    raw = converter.unstructure(Renamed(inner=7))
    assert loads(dumps(raw)) == {"outer": 7}
    assert converter.structure(raw, Renamed) == Renamed(inner=7)
    with pytest.raises(cbor.DECODING_ERRORS):
        converter.structure({"inner": 7}, Renamed)
    assert dump_record(Renamed(inner=7)) == {"kind": "Outer", "outer": 7}
