import http.client
import json
from base64 import b64encode
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest


def fetch_runs(client: Any) -> Any:
    return json.loads(client.call("GET", "/-/runs").body)


def set_mode(client: Any, mode: str, **settings: float) -> None:
    body = json.dumps({"mode": mode, **settings}).encode()
    assert client.call("POST", "/-/faults", body).status == 200


def start_endless_request(client: Any) -> http.client.HTTPConnection:
    set_mode(client, "slow", factor=1e6)
    conn: http.client.HTTPConnection = client.connection()
    conn.request("POST", "/pay")
    client.eventually(lambda: len(fetch_runs(client)) == 1)
    return conn


def test_answers_and_logs_the_request(backend: Any) -> None:
    client = backend()
    reply = client.call("POST", "/pay", b"x", Request_Id="r1", Organisation="o1")
    content = json.loads(reply.body)
    assert (content["path"], content["organisation"]) == ("/pay", "o1")
    assert content["headers"]["request-id"] == reply.headers["Request-Id"] == "r1"
    assert reply.headers["Load"] == "busy=0; slots=3; draining=0"
    (run,) = fetch_runs(client)
    assert run["finished"] and run["body_sha256"] == content["body_sha256"]


def test_reads_chunked_bodies_on_a_reused_connection(backend: Any) -> None:
    conn = backend().connection()
    for _ in range(2):
        conn.request("PUT", "/x", iter((b"ab", b"c")), encode_chunked=True)
        assert json.loads(conn.getresponse().read())["body_length"] == 3
    conn.close()


def test_shed_work_is_not_logged(backend: Any) -> None:
    client = backend(slots=1, queue=0)
    conn = start_endless_request(client)
    shed = client.call("POST", "/pay", Request_Id="r2")
    assert (shed.status, shed.headers["Shed"]) == (503, "not-run")
    assert (shed.headers["Request-Id"], shed.headers["Retry-After"]) == ("r2", "0.05")
    assert shed.headers["Load"] == "busy=1; slots=1; draining=0"
    assert len(fetch_runs(client)) == 1
    conn.close()


def test_queued_request_is_shed_at_its_deadline(backend: Any) -> None:
    client = backend(slots=1, queue=1)
    conn = start_endless_request(client)
    assert client.call("GET", "/x", Deadline_Ms="20").headers["Shed"] == "not-run"
    assert len(fetch_runs(client)) == 1
    conn.close()


def test_closed_connection_frees_the_slot_for_the_queue(backend: Any) -> None:
    client = backend(slots=1, queue=1)
    conn = start_endless_request(client)
    set_mode(client, "ok")
    with ThreadPoolExecutor() as pool:
        queued = pool.submit(client.call, "GET", "/next")
        client.eventually(lambda: len(client.app.controller.state().waiting) == 1)
        conn.close()
        assert queued.result().status == 200
    assert [run["finished"] for run in fetch_runs(client)] == [False, True]


def test_stalled_work_is_logged_and_never_answered(backend: Any) -> None:
    client = backend()
    set_mode(client, "stall")
    conn = client.connection()
    conn.request("POST", "/pay")
    client.eventually(lambda: len(fetch_runs(client)) == 1)
    assert client.call("GET", "/-/health").body == b"ok"
    conn.close()
    client.eventually(lambda: not client.app.controller.state().running)
    assert not fetch_runs(client)[0]["finished"]


def test_full_queue_sheds(backend: Any) -> None:
    client = backend(slots=1, queue=1)
    conn = start_endless_request(client)
    waiting = client.connection()
    waiting.request("GET", "/next")
    client.eventually(lambda: len(client.app.controller.state().waiting) == 1)
    assert client.call("GET", "/x").headers["Shed"] == "not-run"
    waiting.close()
    client.eventually(lambda: not client.app.controller.state().waiting)
    conn.close()
    client.eventually(lambda: not client.app.controller.state().running)
    assert [run["path"] for run in fetch_runs(client)] == ["/pay"]


def test_late_answer_is_sent_after_the_run_is_finished(backend: Any) -> None:
    client = backend()
    set_mode(client, "late", delay_s=3600)
    conn = client.connection()
    conn.request("POST", "/pay")
    client.eventually(lambda: [run["finished"] for run in fetch_runs(client)] == [True])
    conn.close()


def test_draining_sheds_new_work(backend: Any) -> None:
    client = backend()
    client.call("POST", "/-/drain")
    shed = client.call("GET", "/x")
    assert (shed.status, shed.headers["Load"][-10:]) == (503, "draining=1")
    assert client.call("GET", "/-/health").status == 503
    client.call("POST", "/-/undrain")
    assert client.call("GET", "/x").status == 200


def test_truncated_answer(backend: Any) -> None:
    client = backend()
    set_mode(client, "truncate")
    with pytest.raises(http.client.IncompleteRead) as caught:
        client.call("GET", "/x?size=1000")
    assert (len(caught.value.partial), caught.value.expected) == (500, 500)


def test_answer_to_another_request(backend: Any) -> None:
    client = backend()
    set_mode(client, "foreign")
    reply = client.call("GET", "/x", Request_Id="r1")
    assert reply.status == 200 and reply.headers["Request-Id"] != "r1"


def test_errors_follow_the_share(backend: Any) -> None:
    client = backend()
    set_mode(client, "errors", share=0.5)
    statuses = {client.call("GET", "/x").status for _ in range(20)}
    assert statuses == {200, 500}


@pytest.mark.parametrize("mode", ["stall", "truncate", "foreign", "refuse"])
def test_health_probe_succeeds_despite_the_fault(backend: Any, mode: str) -> None:
    client = backend()
    set_mode(client, mode)
    assert client.call("GET", "/-/health").body == b"ok"


def test_refused_work_does_not_run(backend: Any) -> None:
    client = backend()
    set_mode(client, "refuse")
    with pytest.raises((http.client.RemoteDisconnected, ConnectionResetError)):
        client.call("GET", "/x")
    assert fetch_runs(client) == []


SECRET = "k+y/1 é"


@pytest.mark.parametrize(
    ("target", "headers", "seen"),
    [
        ("/clean", {}, False),
        ("/x", {"X_Key": SECRET.encode().decode("latin-1")}, True),
        ("/a/k%2By%2F1%20%C3%A9/b", {}, True),
        ("/x?key=k%2by%2f1+%c3%a9", {}, True),
        ("/x", {"Authorization": b64encode(SECRET.encode()).decode()}, True),
        ("/x", {"Authorization": b64encode(f"u:{SECRET}".encode()).decode()}, True),
        ("/x", {"Authorization": b64encode(f"us:{SECRET}".encode()).decode()}, True),
        ("/x", {"X_Key": "plain-key"}, True),
    ],
)
def test_key_is_found_in_any_encoding(
    backend: Any, target: str, headers: dict[str, str], seen: bool
) -> None:
    client = backend()
    secrets = json.dumps([SECRET, "plain-key"]).encode()
    client.call("POST", "/-/secrets", secrets)
    assert client.call("GET", target, **headers).status == 200
    assert fetch_runs(client)[0]["key_seen"] is seen
