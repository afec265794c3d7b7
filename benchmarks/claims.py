"""Measure claims: time for each decision and memory for each remembered key."""

import gc
import time
import tracemalloc
from collections.abc import Callable

import numpy as np
from attrs import frozen
from immutables import Map

from snipespring.decisions.claims import answer_claim, receive_report
from snipespring.records import (
    Address,
    Attempt,
    ClaimReport,
    ClaimRequest,
    ClaimTable,
    DomainName,
    EndedRan,
    Header,
    Host,
    HostId,
    Incarnation,
    IssuedKey,
    KeyDigest,
    LeaseHeld,
    ObservedRoster,
    OrganisationName,
    OwnerAuthority,
    PlainKey,
    RecordedReply,
    RequestDigest,
    Roster,
    RosterTenure,
)

__all__ = ["main"]

KEY_COUNTS = (4096, 8192, 16384, 32768, 65536)
FLEET_SIZES = (55, 110, 220, 440, 880)
REPLY_BYTES = 256
PLAIN_KEY_ROUNDS = 300
US_PER_S = 1e6
NOW_S = 1000.0
LEASE_END_S = 1e9
ORGANISATIONS = 8


@frozen(kw_only=True)
class Measurement:
    """Hold one row: the size, microseconds for each step, bytes for each key."""

    size: int
    time_per_step_us: float
    bytes_per_key: float


def make_host(index: int) -> Host:
    """Return a host of the benchmark's fleet."""
    here = Address(ip=f"10.0.{index // 250}.{index % 250}", port=7400)
    return Host(
        host_id=HostId(f"host-{index}"),
        incarnation=Incarnation("0001"),
        domain=DomainName("domain"),
        callers=here,
        peers=here,
        operators=here,
    )


def make_authority(host_count: int) -> OwnerAuthority:
    """Return the standing of a host that is settled in a fleet of this size."""
    fleet = [make_host(index) for index in range(host_count)]
    roster = Roster(version=7, hosts=Map({host.host_id: host for host in fleet}))
    return OwnerAuthority(
        own=fleet[0],
        roster=roster,
        lease=LeaseHeld(until_s=LEASE_END_S),
        tenure=RosterTenure(
            observed=(ObservedRoster(version=7, hosts=roster.hosts),), candidates=roster
        ),
    )


def make_claim(number: int, own_host: Host) -> tuple[ClaimRequest, ClaimReport]:
    """Return the request for a new issued key and the report of its run."""
    by = Attempt(host_id=HostId("host-1"), request_id=f"{number:032x}")
    organisation = OrganisationName(f"organisation-{number % ORGANISATIONS}")
    digest = KeyDigest(number.to_bytes(16, "big"))
    key = IssuedKey(
        digest=digest,
        host_id=own_host.host_id,
        incarnation=own_host.incarnation,
        issued_s=int(NOW_S),
    )
    asked = ClaimRequest(
        by=by,
        organisation=organisation,
        key=key,
        request=RequestDigest(number.to_bytes(16, "little")),
        valid_s=2.0,
    )
    kind = Header(name="Content-Type", value="application/json")
    body = number.to_bytes(REPLY_BYTES, "big")
    reply = RecordedReply(status=200, headers=(kind,), body=body)
    end = EndedRan(reply=reply)
    report = ClaimReport(organisation=organisation, digest=digest, by=by, end=end)
    return asked, report


def fill_table(key_count: int, authority: OwnerAuthority) -> ClaimTable:
    """Return a memory in which this many new keys were claimed and ran."""
    memory = ClaimTable()
    for number in range(key_count):
        asked, report = make_claim(number, authority.own)
        now_s = NOW_S + number / 1000
        memory, _ = answer_claim(memory, asked, authority=authority, now_s=now_s)
        memory = receive_report(memory, report, now_s=now_s)
    return memory


def measure_issued_keys(key_count: int) -> Measurement:
    """Measure one size of memory, time and space in separate passes."""
    standing = make_authority(3)
    calls = [make_claim(number, standing.own) for number in range(key_count)]
    memory = ClaimTable()
    started_s = time.perf_counter()
    for number, (asked, report) in enumerate(calls):
        now_s = NOW_S + number / 1000
        memory, _ = answer_claim(memory, asked, authority=standing, now_s=now_s)
        memory = receive_report(memory, report, now_s=now_s)
    spent_s = time.perf_counter() - started_s
    key_bytes = (
        measure_retained_bytes(lambda: fill_table(key_count, standing)) / key_count
    )
    step_us = spent_s / key_count * US_PER_S
    return Measurement(
        size=key_count, time_per_step_us=step_us, bytes_per_key=key_bytes
    )


def measure_retained_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that the built object keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size_bytes


def measure_plain_keys(host_count: int) -> Measurement:
    """Measure the owner's decision about a plain key in a fleet of this size."""
    standing = make_authority(host_count)
    asked, _ = make_claim(0, standing.own)
    started_s = time.perf_counter()
    for number in range(PLAIN_KEY_ROUNDS):
        digest = KeyDigest(number.to_bytes(16, "big"))
        plain = ClaimRequest(
            by=asked.by,
            organisation=asked.organisation,
            key=PlainKey(digest=digest, roster_version=7),
            request=asked.request,
            valid_s=2.0,
        )
        answer_claim(ClaimTable(), plain, authority=standing, now_s=NOW_S)
    spent_s = time.perf_counter() - started_s
    step_us = spent_s / PLAIN_KEY_ROUNDS * US_PER_S
    return Measurement(size=host_count, time_per_step_us=step_us, bytes_per_key=0.0)


def fit_slope(sizes: list[int], totals: list[float]) -> float:
    """Return the slope of the totals over the sizes, by least squares."""
    return float(np.polyfit(sizes, totals, 1)[0])


def main() -> None:
    """Print both tables and their slopes."""
    print("keys  us a claim and its report  bytes a key")
    rows = [measure_issued_keys(keys) for keys in KEY_COUNTS]
    for row in rows:
        print(f"{row.size}  {row.time_per_step_us:.1f}  {row.bytes_per_key:.0f}")
    sizes = [row.size for row in rows]
    time_slope = fit_slope(sizes, [row.time_per_step_us * row.size for row in rows])
    byte_slope = fit_slope(sizes, [row.bytes_per_key * row.size for row in rows])
    print(f"slope  {time_slope:.1f} us a key  {byte_slope:.0f} bytes a key")
    print("hosts  us a plain key's decision")
    plain = [measure_plain_keys(hosts) for hosts in FLEET_SIZES]
    for row in plain:
        print(f"{row.size}  {row.time_per_step_us:.1f}")
    slope = fit_slope(
        [row.size for row in plain], [row.time_per_step_us for row in plain]
    )
    print(f"slope  {slope:.3f} us a host")


if __name__ == "__main__":
    main()
