"""Check that renames in the code leave the names outside the process unchanged.

Each file below `golden/` was written by an older build.
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
    DomainState,
    DomainSummary,
    Event,
    Host,
    HostCapacity,
    HostId,
    HostReport,
    HostView,
    LeaseState,
    Message,
    ObservedObject,
    OutcomeBatch,
    OutcomeNotification,
    PublishedHost,
    PublishedServer,
    ReportDigest,
    Roster,
    RosterChange,
    StopState,
)
from snipespring.settings import GatewaySettings, Settings

GOLDEN = Path(__file__).parent / "golden"
PACKAGE = Path(__file__).parents[2]
# Types in regions whose initial value does not show the type of later values.
LATER_RECORD_TYPES: tuple[Any, ...] = (
    Configuration,
    GatewaySettings,
    HostView,
    LeaseState,
    PublishedHost,
    PublishedServer,
    ObservedObject,
    StopState,
)
SAMPLE_VALUES: dict[Any, Any] = {
    bool: True,
    bytes: b"x",
    float: 0.25,
    int: 7,
    str: "a",
    NoneType: None,
}


def read_golden(name: str) -> list[str]:
    return (GOLDEN / name).read_text().splitlines()


def make_samples(kind: Any) -> list[Any]:
    """Return values of a type that together contain each variant nested in it."""
    kind = getattr(kind, "__supertype__", kind)
    if kind in SAMPLE_VALUES:
        return [SAMPLE_VALUES[kind]]
    origin, args = get_origin(kind), get_args(kind)
    if origin in (Union, UnionType):
        return [value for arg in args for value in make_samples(arg)]
    if origin is tuple:
        return [(value,) for value in make_samples(args[0])]
    if origin is Map:
        key = make_samples(args[0])[0]
        return [Map({key: value}) for value in make_samples(args[1])]
    field_samples = {
        field.name: make_samples(field.type) for field in attrs.fields(kind)
    }
    first = {name: values[0] for name, values in field_samples.items()}
    found = [kind(**first)]
    for name, values in field_samples.items():
        found += [kind(**{**first, name: value}) for value in values[1:]]
    return found


def iter_classes(kind: Any, seen: set[Any]) -> Iterator[Any]:
    if kind in seen:
        return
    seen.add(kind)
    for arg in get_args(kind):
        yield from iter_classes(arg, seen)
    if isinstance(kind, type) and attrs.has(kind):
        yield kind
        for field in attrs.fields(kind):
            yield from iter_classes(field.type, seen)


def list_dumped_classes() -> set[Any]:
    kinds = {type(getattr(regions, name).initial) for name in regions.__all__}
    seen: set[Any] = set()
    return {
        found
        for kind in (*kinds, *LATER_RECORD_TYPES)
        for found in iter_classes(kind, seen)
    }


def encode_messages() -> list[bytes]:
    return [encode_message(message) for message in make_samples(Message)]


def encode_datagrams() -> list[bytes]:
    return [encode_datagram(message) for message in make_samples(DomainMessage)]


def encode_objects() -> list[bytes]:
    host = make_samples(Host)[0]
    change = RosterChange(before=6, joined=(host,), left=(HostId("b"),))
    hosts = Map({host.host_id: host})
    return [
        encode_root(make_samples(RootRecord)[0]),
        encode_roster(Roster(version=7, hosts=hosts)),
        encode_roster(
            Roster(version=7, hosts=hosts, base_hosts=Map(), changes=(change,))
        ),
    ]


def list_metrics() -> list[str]:
    """List counters with their labels; `*` stands for a variable part."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(attr="count", value=ast.Attribute()),
                    args=[ast.Constant(value=str() as name), *labels],
                ):
                    found.add(f"{name} {_format_label(labels)}".rstrip())
    return sorted(found)


def _format_label(labels: list[ast.expr]) -> str:
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


def format_log_records(caplog: pytest.LogCaptureFixture) -> list[str]:
    recorder = EventRecorder(board=Board())
    standard_attributes = logging.makeLogRecord({}).__dict__
    with caplog.at_level(logging.INFO):
        for event in make_samples(Event):
            recorder.record(event)
    return [
        json.dumps(
            [
                record.name,
                record.message,
                sorted(set(record.__dict__) - set(standard_attributes)),
            ]
        )
        for record in caplog.records
    ]


def iter_settings(kind: Any, prefix: str) -> Iterator[str]:
    for found in [kind, *get_args(kind)]:
        if isinstance(found, type) and attrs.has(found):
            for field in attrs.fields(found):
                yield f"{prefix}{field.name}"
                yield from iter_settings(field.type, f"{prefix}{field.name}.")


def test_messages_to_peers_are_encoded_as_before() -> None:
    assert [content.hex() for content in encode_messages()] == read_golden("messages")


def test_messages_of_an_older_build_are_decoded() -> None:
    for line in read_golden("messages"):
        message = decode_message(bytes.fromhex(line))
        assert not isinstance(message, DecodeFailed)
        assert encode_message(message).hex() == line


def test_datagrams_are_encoded_as_before() -> None:
    assert [content.hex() for content in encode_datagrams()] == read_golden("datagrams")


def test_datagrams_of_this_build_are_decoded() -> None:
    for line in read_golden("datagrams"):
        message = decode_datagram(bytes.fromhex(line))
        assert message is not None
        assert encode_datagram(message).hex() == line


def test_datagrams_of_an_older_build_are_decoded() -> None:
    """Digests changed and are refused; other messages gained fields with defaults."""
    for line in read_golden("datagrams_without_states"):
        message = decode_datagram(bytes.fromhex(line))
        match message:
            case None:
                assert line.startswith("8201"), f"not decoded: {line}"
            case HostReport(host=host, request=request):
                assert (host.capacity, request) == (HostCapacity(), None)
                assert encode_datagram(message).hex()[6:] != line[6:]
            case OutcomeBatch():
                assert _list_later_values(message) == [False]
            case _:
                assert not line.startswith("8201")
                kind, values = loads(bytes.fromhex(line))
                known_kind, known = loads(encode_datagram(message))
                assert (known_kind, known[: len(values)]) == (kind, values)
                added = attrs.fields(type(message))[len(values) :]
                for field in added:
                    assert getattr(message, field.name) == field.default


def test_datagrams_of_a_build_without_demand_are_decoded() -> None:
    """Guard against hosts that do not understand each other during an upgrade."""
    for line in read_golden("datagrams_without_demand"):
        message = decode_datagram(bytes.fromhex(line))
        assert message is not None
        assert not any(_list_later_values(message)), line


def _list_later_values(message: DomainMessage) -> list[Any]:
    """Return the values of fields that were added after the older builds."""
    match message:
        case OutcomeNotification(is_idle_shed=is_idle_shed):
            return [is_idle_shed]
        case OutcomeBatch(outcomes=outcomes):
            return [outcome.is_idle_shed for outcome in outcomes]
        case HostReport(demand=demand) | DomainSummary(demand=demand):
            return [demand]
        case ReportDigest(state=DomainState(demand=demand)):
            return [demand]
        case _:
            return []


def test_fleet_objects_are_encoded_as_before() -> None:
    assert [content.hex() for content in encode_objects()] == read_golden(
        "fleet_objects"
    )


def test_fleet_objects_of_an_older_build_are_decoded() -> None:
    root, *rosters = (bytes.fromhex(line) for line in read_golden("fleet_objects"))
    root_record = decode_root(root, version=7)
    assert root_record is not None
    assert encode_root(root_record) == root
    for content in rosters:
        roster = decode_roster(content, version=7)
        assert roster is not None
        assert encode_roster(roster) == content


def test_events_are_dumped_as_before() -> None:
    dumped = [json.dumps(dump_record(event)) for event in make_samples(Event)]
    assert dumped == read_golden("events")


def test_events_are_logged_as_before(caplog: pytest.LogCaptureFixture) -> None:
    assert format_log_records(caplog) == read_golden("event_lines")


def test_the_state_dump_names_regions_as_before() -> None:
    names = sorted(getattr(regions, name).name for name in regions.__all__)
    assert names == read_golden("regions")


def test_the_state_dump_names_records_as_before() -> None:
    dumped = sorted(
        " ".join(
            [
                outer_kind_name(kind),
                *(
                    outer_field_name(kind, attribute.name)
                    for attribute in attrs.fields(kind)
                    if attribute.repr
                ),
            ]
        )
        for kind in list_dumped_classes()
    )
    assert dumped == read_golden("dumped_records")


def test_metrics_are_named_as_before() -> None:
    assert list_metrics() == read_golden("metrics")


def test_settings_are_named_as_before() -> None:
    names = {*iter_settings(Settings, "proxy "), *iter_settings(GatewaySettings, "")}
    assert sorted(names) == read_golden("settings")


@attrs.frozen(kw_only=True)
class Renamed:
    inner: int


def test_a_renamed_field_keeps_its_outer_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(outer_names.FIELD_NAMES, "Renamed", {"inner": "outer"})
    monkeypatch.setitem(outer_names.KIND_NAMES, "Renamed", "Outer")
    converter = cbor.make_strict_converter()
    raw = converter.unstructure(Renamed(inner=7))
    assert loads(dumps(raw)) == {"outer": 7}
    assert converter.structure(raw, Renamed) == Renamed(inner=7)
    with pytest.raises(cbor.DECODING_ERRORS):
        converter.structure({"inner": 7}, Renamed)
    assert dump_record(Renamed(inner=7)) == {"kind": "Outer", "outer": 7}
