import http.client
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest


def counts(platform: Any) -> Any:
    return json.loads(platform.call("GET", "/control/counts").body)


def test_stale_version_conflicts(platform: Any) -> None:
    assert platform.call("PUT", "/objects/a/b", b"1", If_Version="0").status == 200
    stale = platform.call("PUT", "/objects/a/b", b"2", If_Version="0")
    assert (stale.status, stale.headers["Version"]) == (409, "1")
    found = platform.call("GET", "/objects/a/b")
    assert (found.body, found.headers["Version"]) == (b"1", "1")


def test_versions_rise_across_a_deletion(platform: Any) -> None:
    platform.call("PUT", "/objects/a", b"1", If_Version="0")
    assert platform.call("DELETE", "/objects/a", If_Version="0").status == 409
    assert platform.call("DELETE", "/objects/a", If_Version="1").status == 200
    assert platform.call("GET", "/objects/a").status == 404
    again = platform.call("PUT", "/objects/a", b"2", If_Version="0")
    assert again.headers["Version"] == "3"


def test_rejects_malformed_and_large_writes(platform: Any) -> None:
    assert platform.call("PUT", "/objects/a", b"1").status == 400
    fits, large = bytes(1048576), bytes(1048577)
    assert platform.call("PUT", "/objects/a", large, If_Version="0").status == 413
    assert platform.call("PUT", "/objects/a", fits, If_Version="0").status == 200


def test_lists_by_prefix(platform: Any) -> None:
    for name in ("b/2", "a/1", "b/1"):
        platform.call("PUT", f"/objects/{name}", b"", If_Version="0")
    listing = json.loads(platform.call("GET", "/objects?prefix=b/").body)
    assert listing == [{"name": "b/1", "version": 1}, {"name": "b/2", "version": 1}]


def test_watch_wakes_on_a_write(platform: Any) -> None:
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(platform.call, "GET", "/objects/a?watch=0&wait_s=3600")
        platform.eventually(lambda: counts(platform)["watches"] == 1)
        platform.call("PUT", "/objects/a", b"new", If_Version="0")
        assert watch.result().body == b"new"


def test_watch_ends_unchanged(platform: Any) -> None:
    platform.call("PUT", "/objects/a", b"1", If_Version="0")
    assert platform.call("GET", "/objects/a?watch=1&wait_s=0").status == 304
    assert platform.call("GET", "/objects/a?watch=0&wait_s=9").body == b"1"


def test_away_closes_calls_and_waiting_watches(platform: Any) -> None:
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(platform.call, "GET", "/objects/a?watch=0&wait_s=3600")
        platform.eventually(lambda: counts(platform)["watches"] == 1)
        platform.call("POST", "/control/faults", b'{"mode": "away"}')
        with pytest.raises(http.client.RemoteDisconnected):
            watch.result()
    with pytest.raises(http.client.RemoteDisconnected):
        platform.call("GET", "/hosts")
    assert counts(platform)["refused"] == 1
    platform.call("POST", "/control/faults", b'{"mode": "up"}')
    assert platform.call("GET", "/hosts").status == 200


def test_lost_answer_still_writes(platform: Any) -> None:
    platform.call("POST", "/control/faults", b'{"mode": "up", "lose_answers": 1}')
    with pytest.raises(http.client.RemoteDisconnected):
        platform.call("PUT", "/objects/a", b"1", If_Version="0")
    assert platform.call("GET", "/objects/a").body == b"1"
    assert platform.call("PUT", "/objects/a", b"2", If_Version="1").status == 200


def test_host_list_lags(platform: Any) -> None:
    platform.call("PUT", "/control/hosts", b'["h1"]')
    platform.call("PUT", "/control/hosts", b'{"hosts": ["h2"], "lag_s": 3600}')
    assert json.loads(platform.call("GET", "/hosts").body) == ["h1"]
    platform.call("PUT", "/control/hosts", b'["h3"]')
    assert json.loads(platform.call("GET", "/hosts").body) == ["h3"]
