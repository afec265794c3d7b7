"""Measure claims: the time of each decision and the memory of each stored key."""

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
    """Represent the measurements at one number of keys or hosts."""

    size: int
    time_per_step_us: float
    bytes_per_key: float


def make_host(index: int) -> Host:
    """Return a host of the simulated fleet."""
    address = Address(ip=f"10.0.{index // 250}.{index % 250}", port=7400)
    return Host(
        host_id=HostId(f"host-{index}"),
        incarnation=Incarnation("0001"),
        domain=DomainName("domain"),
        callers=address,
        peers=address,
        operators=address,
    )


def make_authority(host_count: int) -> OwnerAuthority:
    """Return the authority of a host that is the sole owner in a fleet of this size."""
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
    """Return a claim request for a newly issued key and the report of its outcome."""
    by = Attempt(host_id=HostId("host-1"), request_id=f"{number:032x}")
    organisation = OrganisationName(f"organisation-{number % ORGANISATIONS}")
    digest = KeyDigest(number.to_bytes(16, "big"))
    key = IssuedKey(
        digest=digest,
        host_id=own_host.host_id,
        incarnation=own_host.incarnation,
        issued_s=int(NOW_S),
    )
    request = ClaimRequest(
        by=by,
        organisation=organisation,
        key=key,
        request=RequestDigest(number.to_bytes(16, "little")),
        valid_s=2.0,
    )
    content_type = Header(name="Content-Type", value="application/json")
    body = number.to_bytes(REPLY_BYTES, "big")
    reply = RecordedReply(status=200, headers=(content_type,), body=body)
    end = EndedRan(reply=reply)
    report = ClaimReport(organisation=organisation, digest=digest, by=by, end=end)
    return request, report


def fill_table(key_count: int, authority: OwnerAuthority) -> ClaimTable:
    """Return a table in which this many new keys were claimed and completed."""
    table = ClaimTable()
    for number in range(key_count):
        request, report = make_claim(number, authority.own)
        now_s = NOW_S + number / 1000
        table, _ = answer_claim(table, request, authority=authority, now_s=now_s)
        table = receive_report(table, report, now_s=now_s)
    return table


def measure_issued_keys(key_count: int) -> Measurement:
    """Measure one table size; time and memory are measured in separate passes."""
    authority = make_authority(3)
    calls = [make_claim(number, authority.own) for number in range(key_count)]
    table = ClaimTable()
    started_s = time.perf_counter()
    for number, (request, report) in enumerate(calls):
        now_s = NOW_S + number / 1000
        table, _ = answer_claim(table, request, authority=authority, now_s=now_s)
        table = receive_report(table, report, now_s=now_s)
    elapsed_s = time.perf_counter() - started_s
    key_bytes = (
        measure_retained_bytes(lambda: fill_table(key_count, authority)) / key_count
    )
    step_us = elapsed_s / key_count * US_PER_S
    return Measurement(
        size=key_count, time_per_step_us=step_us, bytes_per_key=key_bytes
    )


def measure_retained_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that the built object retains."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size_bytes


def measure_plain_keys(host_count: int) -> Measurement:
    """Measure the owner's decision on a plain key in a fleet of this size."""
    authority = make_authority(host_count)
    request, _ = make_claim(0, authority.own)
    started_s = time.perf_counter()
    for number in range(PLAIN_KEY_ROUNDS):
        digest = KeyDigest(number.to_bytes(16, "big"))
        plain_request = ClaimRequest(
            by=request.by,
            organisation=request.organisation,
            key=PlainKey(digest=digest, roster_version=7),
            request=request.request,
            valid_s=2.0,
        )
        answer_claim(ClaimTable(), plain_request, authority=authority, now_s=NOW_S)
    elapsed_s = time.perf_counter() - started_s
    step_us = elapsed_s / PLAIN_KEY_ROUNDS * US_PER_S
    return Measurement(size=host_count, time_per_step_us=step_us, bytes_per_key=0.0)


def fit_slope(sizes: list[int], totals: list[float]) -> float:
    """Return the least-squares slope of the totals over the sizes."""
    return float(np.polyfit(sizes, totals, 1)[0])


def main() -> None:
    """Print the tables of issued and of plain keys with their slopes."""
    print("keys  us a claim and its report  bytes a key")
    rows = [measure_issued_keys(key_count) for key_count in KEY_COUNTS]
    for row in rows:
        print(f"{row.size}  {row.time_per_step_us:.1f}  {row.bytes_per_key:.0f}")
    sizes = [row.size for row in rows]
    time_slope = fit_slope(sizes, [row.time_per_step_us * row.size for row in rows])
    byte_slope = fit_slope(sizes, [row.bytes_per_key * row.size for row in rows])
    print(f"slope  {time_slope:.1f} us a key  {byte_slope:.0f} bytes a key")
    print("hosts  us a plain key's decision")
    plain = [measure_plain_keys(host_count) for host_count in FLEET_SIZES]
    for row in plain:
        print(f"{row.size}  {row.time_per_step_us:.1f}")
    slope = fit_slope(
        [row.size for row in plain], [row.time_per_step_us for row in plain]
    )
    print(f"slope  {slope:.3f} us a host")


if __name__ == "__main__":
    main()
