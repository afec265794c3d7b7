import http.client
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

KIND = "/v1/objects/things"


def fetch_counts(store: Any) -> Any:
    return json.loads(store.call("GET", "/control/counts").body)


def create(store: Any, name: str, spec: Any) -> Any:
    body = {"Metadata": {"Name": name}, "Spec": spec}
    return store.call("POST", KIND, json.dumps(body).encode())


def replace(store: Any, name: str, spec: Any, revision: int) -> Any:
    body = {"Metadata": {"Name": name, "Revision": revision}, "Spec": spec}
    return store.call("PUT", f"{KIND}/{name}", json.dumps(body).encode())


def revision_of(answer: Any) -> int:
    revision: int = json.loads(answer.body)["Metadata"]["Revision"]
    return revision


def set_fault(store: Any, **fault: Any) -> None:
    store.call("POST", "/control/faults", json.dumps(fault).encode())


def test_stale_revision_conflicts(store: Any) -> None:
    first = revision_of(create(store, "a", 1))
    second = revision_of(replace(store, "a", 2, first))
    assert second > first
    stale = replace(store, "a", 3, first)
    assert (stale.status, revision_of(stale)) == (409, second)
    assert json.loads(store.call("GET", f"{KIND}/a").body)["Spec"] == 2


def test_revisions_increase_across_a_deletion(store: Any) -> None:
    first = revision_of(create(store, "a", 1))
    assert store.call("DELETE", f"{KIND}/a?Revision={first + 1}").status == 409
    assert store.call("DELETE", f"{KIND}/a?Revision={first}").status == 200
    assert store.call("GET", f"{KIND}/a").status == 404
    assert revision_of(create(store, "a", 2)) > first


def test_write_that_changes_nothing_keeps_the_revision(store: Any) -> None:
    first = revision_of(create(store, "a", 1))
    assert revision_of(replace(store, "a", 1, first)) == first


def test_rejects_malformed_and_large_writes(store: Any) -> None:
    assert store.call("POST", KIND, b"[]").status == 400
    assert create(store, "a", "x" * 1048577).status == 413
    assert create(store, "a", "x" * 1000000).status == 201


def test_watch_wakes_on_a_write(store: Any) -> None:
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(store.call, "GET", f"{KIND}?Watch=1&WaitMs=30000")
        store.wait_until(lambda: fetch_counts(store)["watches"] == 1)
        create(store, "a", "new")
        events = json.loads(watch.result().body)["events"]
    assert [event["Object"]["Spec"] for event in events] == ["new"]


def test_unavailable_store_closes_calls_and_waiting_watches(store: Any) -> None:
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(store.call, "GET", f"{KIND}?Watch=1&WaitMs=30000")
        store.wait_until(lambda: fetch_counts(store)["watches"] == 1)
        set_fault(store, mode="away")
        with pytest.raises(http.client.RemoteDisconnected):
            watch.result()
    with pytest.raises(http.client.RemoteDisconnected):
        store.call("GET", KIND)
    assert fetch_counts(store)["refused"] == 1
    set_fault(store, mode="up")
    assert store.call("GET", KIND).status == 200


def test_write_with_a_lost_answer_is_applied(store: Any) -> None:
    set_fault(store, mode="losing", writes=1)
    with pytest.raises(http.client.RemoteDisconnected):
        create(store, "a", 1)
    current = store.call("GET", f"{KIND}/a")
    assert replace(store, "a", 2, revision_of(current)).status == 200


def test_restored_store_reissues_revisions_in_a_new_era(store: Any) -> None:
    # Guards against a stand-in whose restored store still knows later changes, with
    # which no host would ever see a revision twice.
    first = create(store, "a", 1)
    store.call("POST", "/control/backup")
    lost = replace(store, "a", 2, revision_of(first))
    assert [answer.headers["Store-Era"] for answer in (first, lost)] == ["0", "0"]
    with ThreadPoolExecutor() as pool:
        target = f"{KIND}?Watch={revision_of(lost)}&WaitMs=30000"
        watch = pool.submit(store.call, "GET", target)
        store.wait_until(lambda: fetch_counts(store)["watches"] == 1)
        store.call("POST", "/control/restore")
        answer = watch.result()
    assert (answer.status, answer.headers["Store-Era"]) == (410, "1")
    restored = store.call("GET", f"{KIND}/a")
    assert json.loads(restored.body)["Spec"] == 1
    reissued = replace(store, "a", 3, revision_of(restored))
    assert revision_of(reissued) == revision_of(lost)
