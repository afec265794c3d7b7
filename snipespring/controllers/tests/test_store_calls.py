"""Count the calls of a fleet to the store, and check what fewer calls must not cost."""

import pytest

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    CONFIGURATION_FEED,
    HOST_FEED,
    LEASE,
    SERVER_FEED,
)
from snipespring.controllers.tests.domain_fleet import DOMAINS
from snipespring.controllers.tests.store_fleet import StoreFleet
from snipespring.records import Configuration, HostId, LeaseHeld, ServiceName

HOSTS = 8  # in each of three domains
ALL = HOSTS * len(DOMAINS)


def run_until_serving(fleet: StoreFleet, limit_s: float, hosts: int = ALL) -> float:
    """Return after how many seconds so many hosts serve; fail after `limit_s`."""
    began_s = fleet.now_s
    while fleet.serving() < hosts:
        assert fleet.now_s - began_s < limit_s, f"{fleet.serving()} of {hosts} serve"
        fleet.run(0.1)
    return fleet.now_s - began_s


def cut_off(*numbers: int, domains: str = "abc") -> set[HostId]:
    return {HostId(f"{domain}-{number}") for domain in domains for number in numbers}


def versions(fleet: StoreFleet, hosts: set[HostId]) -> set[int]:
    return {fleet.boards[name].read(CONFIGURATION).version for name in hosts}


def boards(fleet: StoreFleet) -> list[Board]:
    return list(fleet.boards.values())


def started_fleet() -> StoreFleet:
    fleet = StoreFleet(hosts_per_domain=HOSTS)
    fleet.run(20.0)
    fleet.take_costs()
    fleet.calls_at.clear()
    return fleet


def test_a_restart_of_all_hosts_costs_stale_reads_and_one_fresh_read_a_domain() -> None:
    # Guards against hosts that register again, or list fresh, although nothing changed.
    fleet = StoreFleet(hosts_per_domain=HOSTS)
    run_until_serving(fleet, 1.5)
    fleet.run(1.0)
    costs = fleet.take_costs()
    assert "register" not in costs
    assert "hosts list" not in costs
    assert costs["config list"] == costs["servers list"] == len(DOMAINS)
    stale = sum(costs[f"{kind} stale"] for kind in ("hosts", "config", "servers"))
    assert stale == pytest.approx(0.3 * ALL, abs=0.2)


def test_a_first_start_finds_all_hosts_before_the_traffic() -> None:
    # Guards against hosts that watch alone because the registry was still empty.
    fleet = StoreFleet(hosts_per_domain=HOSTS, is_first_start=True)
    run_until_serving(fleet, 9.0)
    costs = fleet.take_costs()
    assert costs["register"] == ALL
    assert costs["config list"] == costs["servers list"] == len(DOMAINS)
    assert "hosts list" not in costs
    assert all(len(board.read(HOST_FEED).items) == ALL for board in boards(fleet))


def test_hosts_without_hubs_read_for_themselves_after_a_restart() -> None:
    # Guards against hosts that wait for hubs that are gone, and against reads by all of
    # them although other hosts have become hubs.
    fleet = StoreFleet(hosts_per_domain=HOSTS)
    fleet.links.dead |= cut_off(0, 1)
    run_until_serving(fleet, 3.0)
    assert fleet.take_costs()["config list"] <= ALL // 2


def test_what_changed_before_a_restart_is_not_used_from_stale_reads() -> None:
    # Guards against the use of a server that left, or of a configuration that was
    # replaced, within the age of a stale read (DRAIN).
    fleet = StoreFleet(hosts_per_domain=HOSTS)
    fleet.run(5.0)
    fleet.write("servers", "s0", None)
    fleet.write("config", "main", Configuration(version=2))
    fleet.run(0.2)
    fleet.start()
    used: set[str] = set()
    for _ in range(60):
        fleet.run(0.05)
        for board in boards(fleet):
            cfg = board.read(CONFIGURATION)
            rules = cfg.servers.get(ServiceName("ledger"), ())
            used |= {str(rule.server) for rule in rules}
            assert cfg.version in (0, 2)
            assert cfg.version or not isinstance(board.read(LEASE), LeaseHeld)
    assert fleet.serving() == ALL
    assert "ledger@10.9.0.1:9000" not in used
    assert len(used) == 7


def test_an_outage_of_the_store_is_watched_by_probes_only() -> None:
    # Guards against every host repeating its queries during the outage, and against
    # all of them asking at its end what their hub reads.
    fleet = started_fleet()
    fleet.cut = cut_off(*range(HOSTS))
    fleet.run(10.0)
    costs = fleet.take_costs()
    hubs = 2 * len(DOMAINS)
    assert costs["config list"] + costs["servers watch"] <= 5 * hubs
    assert costs["probe"] <= 0.1 * (10 * ALL + 20 * hubs)
    assert fleet.serving() == 0
    fleet.cut = set()
    fleet.calls_at.clear()
    run_until_serving(fleet, 1.5)
    assert fleet.take_costs()["config list"] <= 2 * hubs
    assert max(fleet.calls_at.values()) <= ALL // 2


@pytest.mark.parametrize(
    ("cut", "limit_s"),
    [
        (cut_off(0), 2.0),
        (cut_off(0, 1), 2.5),
        (cut_off(*range(0, HOSTS, 3)), 2.0),
        (cut_off(*range(HOSTS), domains="a"), 2.0),
    ],
    ids=["first hubs", "both hubs", "a third", "a domain"],
)
def test_a_change_reaches_hosts_in_touch_while_their_hubs_are_cut_off(
    cut: set[HostId], limit_s: float
) -> None:
    # Guards against a version that is late because the host that watches for the domain
    # is cut off from the store while the others wait for it (CONFIGAPPLY).
    fleet = started_fleet()
    others = set(fleet.boards) - cut
    for step in range(5):
        fleet.cut = cut
        fleet.run(0.3 * step)
        fleet.write("config", "main", Configuration(version=step + 2))
        fleet.run(limit_s)
        assert versions(fleet, others) == {step + 2}
        fleet.run(10.0)
        assert fleet.serving() >= len(others)
        fleet.cut = set()
        fleet.run(10.0)
        assert fleet.serving() == ALL


def test_a_restart_during_an_outage_ends_with_it() -> None:
    # Guards against first reads that are not repeated, or repeated by all at once.
    fleet = started_fleet()
    fleet.cut = cut_off(*range(HOSTS))
    fleet.start()
    fleet.run(10.0)
    assert sum(fleet.take_costs().values()) < 4 * ALL
    assert fleet.serving() == 0
    fleet.cut = set()
    run_until_serving(fleet, 5.0)


def test_a_restore_costs_one_listing_of_the_servers_a_domain() -> None:
    # Guards against hosts that all list anew after a restore, and against servers of
    # the backup that had left before it.
    fleet = started_fleet()
    backup = fleet.revision
    fleet.write("servers", "s0", None)
    fleet.run(5.0)
    fleet.take_costs()
    fleet.calls_at.clear()
    fleet.restore(backup)
    used: set[str] = set()
    for _ in range(60):
        fleet.run(0.1)
        for board in boards(fleet):
            rules = board.read(CONFIGURATION).servers.get(ServiceName("ledger"), ())
            used |= {str(rule.server) for rule in rules}
    assert "ledger@10.9.0.1:9000" not in used
    assert len(used) == 7
    assert {board.read(SERVER_FEED).era for board in boards(fleet)} == {1}
    assert fleet.serving() == ALL
    costs = fleet.take_costs()
    assert costs["servers list"] == len(DOMAINS)
    assert costs["config list"] <= 2 * len(DOMAINS)
    # Each watching host ends two watches, lists twice and may probe.
    assert max(fleet.calls_at.values()) <= 5 * len(DOMAINS)


@pytest.mark.parametrize("restarts", [False, True])
def test_a_restore_at_the_end_of_an_outage_is_read_by_the_hubs(restarts: bool) -> None:
    # Guards against calls of all hosts when the store returns from a backup, and
    # against a host that restarts meanwhile and stays in the earlier era.
    fleet = started_fleet()
    backup = fleet.revision
    fleet.write("servers", "s0", None)
    fleet.run(5.0)
    fleet.cut = cut_off(*range(HOSTS))
    fleet.run(10.0)
    fleet.restore(backup)
    if restarts:
        fleet.start()
        fleet.run(5.0)
    fleet.cut = set()
    fleet.take_costs()
    fleet.calls_at.clear()
    run_until_serving(fleet, 5.0 if restarts else 1.5)
    fleet.run(3.0)
    assert {board.read(SERVER_FEED).era for board in boards(fleet)} == {1}
    feeds = [board.read(CONFIGURATION_FEED) for board in boards(fleet)]
    assert not any(feed.is_stale for feed in feeds)
    costs = fleet.take_costs()
    # Hosts that start in an outage list once by themselves, with or without a restore.
    assert costs["servers list"] <= (ALL if restarts else 2 * len(DOMAINS))
    assert costs["config list"] <= (ALL if restarts else 2 * len(DOMAINS))
    assert max(fleet.calls_at.values()) <= ALL


@pytest.mark.parametrize("after_s", [0.3, 0.6, 1.0, 2.0])
def test_a_restore_during_a_start_leaves_no_host_in_the_earlier_era(
    after_s: float,
) -> None:
    # Guards against first listings from before the restore that a hub of the new era
    # completes, and against fresh listings by all hosts at the same moment.
    fleet = StoreFleet(hosts_per_domain=HOSTS)
    backup = fleet.revision
    fleet.run(5.0)
    fleet.write("servers", "s0", None)
    fleet.run(5.0)
    fleet.start()
    fleet.run(after_s)
    fleet.calls_at.clear()
    fleet.take_costs()
    fleet.restore(backup)
    fleet.run(2.5)
    assert fleet.serving() == ALL
    for board in boards(fleet):
        feeds = (board.read(SERVER_FEED), board.read(CONFIGURATION_FEED))
        assert [feed.is_stale for feed in feeds] == [False, False]
        assert feeds[0].era == 1
    costs = fleet.take_costs()
    assert costs["config list"] + costs["servers list"] <= 6 * len(DOMAINS)
