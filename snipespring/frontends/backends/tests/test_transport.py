import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest

from snipespring.frontends.backends import HttpTransport, pool
from snipespring.frontends.backends.tests.scripted_server import (
    TIMEOUT_S,
    answer_completely,
    make_answer,
    make_attempt,
    make_script,
    make_transport,
    run_server,
)
from snipespring.records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    ConnectFailed,
    SendBroken,
    ShedByServer,
)
from snipespring.utils import SystemClock

INCOMPLETE_ANSWERS: list[Callable[[str], bytes]] = [
    lambda request_id: make_answer(request_id, b"half", length=9),
    lambda request_id: (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\nunknown end".encode()
    ),
    lambda request_id: b"HTTP/1.1 200 OK\r\nContent-Le",
    lambda request_id: b"garbage\r\n\r\n",
    lambda request_id: b"",
    lambda request_id: make_answer(request_id).replace(
        b"Content-", b"Content-Length: 2\r\nContent-", 1
    ),
    lambda request_id: (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
    ).encode(),
]


@pytest.mark.parametrize("make_content", INCOMPLETE_ANSWERS)
def test_incomplete_answer_is_broken(
    make_content: Callable[[str], bytes],
) -> None:
    with run_server(
        make_script(make_content, stays_open=False), answer_completely
    ) as server:
        transport = make_transport()
        assert isinstance(
            transport.send(server.server_id, make_attempt(1)), AnswerBroken
        )
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


def test_answer_to_another_request_closes_the_connection() -> None:
    with run_server(
        make_script(lambda request_id: make_answer("other")), answer_completely
    ) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_attempt(1))
        assert result == AnswerForeign(expected_id="r1", received_id="other")
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


@pytest.mark.parametrize(
    "extra",
    [
        lambda request_id: make_answer(request_id),
        lambda request_id: b"trailing",
        lambda request_id: b"\r\n",
    ],
)
def test_bytes_after_an_answer_never_reach_the_next_request(
    extra: Callable[[str], bytes],
) -> None:
    def twice(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id))
        late.wait(TIMEOUT_S)
        conn.sendall(extra(request_id))
        return True

    late = threading.Event()
    with run_server(twice, answer_completely, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        late.set()
        for number in (2, 3):
            result = transport.send(server.server_id, make_attempt(number))
            match result:
                case Answered(body=body, headers=headers):
                    assert body == b"whole"
                    ids = [
                        header.value
                        for header in headers
                        if header.name == "Request-Id"
                    ]
                    assert ids == [f"r{number}"]
                case _:
                    assert isinstance(result, AnswerForeign | AnswerBroken)


def test_answer_without_an_id_is_accepted_only_on_a_new_connection() -> None:
    with run_server(
        make_script(lambda request_id: make_answer(None)),
        answer_completely,
        make_script(lambda request_id: make_answer(None)),
    ) as (server):
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert transport.pool.count_idle() == 1
        assert isinstance(
            transport.send(server.server_id, make_attempt(3)), AnswerBroken
        )


def test_connection_that_the_server_closed_is_not_reused() -> None:
    closed = threading.Event()

    def close(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id))
        conn.shutdown(socket.SHUT_RDWR)
        closed.set()
        return False

    with run_server(close, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        closed.wait(TIMEOUT_S)
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)


def test_connections_outside_of_the_subset_are_closed() -> None:
    with run_server(answer_completely, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        assert transport.pool.count_idle() == 1
        transport.keep_only(frozenset())
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert transport.pool.count_idle() == 0


def test_a_connection_is_closed_after_the_most_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool, "MAX_ANSWERS_PER_CONNECTION", 3)
    with run_server(*[answer_completely] * 7) as server:
        transport = make_transport()
        for number in range(7):
            result = transport.send(server.server_id, make_attempt(number))
            assert isinstance(result, Answered)
        assert server.connections == 3


def test_attempt_timeout_is_late_and_closes_the_connection() -> None:
    with run_server(lambda conn, request_id: True, answer_completely) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_attempt(1, timeout_s=0.05))
        assert isinstance(result, AnswerLate)
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


def test_cancelled_attempt_is_late_and_its_connection_is_not_reused() -> None:
    started = threading.Event()

    def trickle(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id, b"w", length=5))
        started.set()
        return True

    with run_server(answer_completely, trickle, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)

        def cancel() -> None:
            started.wait(TIMEOUT_S)
            transport.cancel("r2")

        canceller = threading.Thread(target=cancel)
        canceller.start()
        assert isinstance(transport.send(server.server_id, make_attempt(2)), AnswerLate)
        canceller.join()
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(3)), Answered)
        transport.cancel("r3")
        assert transport.pool.count_idle() == 1


def test_an_abort_under_way_holds_up_no_other_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a lock of all attempts that is held during a system call: requests
    # waited while many attempts of a silent service were cancelled.
    started, is_aborting, may_abort = (threading.Event() for _ in range(3))
    abort = pool.PooledConnection.abort

    def abort_late(conn: pool.PooledConnection) -> None:
        is_aborting.set()
        may_abort.wait(TIMEOUT_S)
        abort(conn)

    def stay_silent(conn: socket.socket, request_id: str) -> bool:
        started.set()
        return True

    monkeypatch.setattr(pool.PooledConnection, "abort", abort_late)
    transport = make_transport()
    with (
        run_server(stay_silent, answer_completely) as server,
        ThreadPoolExecutor(3) as threads,
    ):
        silent = threads.submit(transport.send, server.server_id, make_attempt(1))
        started.wait(TIMEOUT_S)
        threads.submit(transport.cancel, "r1")
        is_aborting.wait(TIMEOUT_S)
        other = threads.submit(transport.send, server.server_id, make_attempt(2))
        try:
            assert isinstance(other.result(2.0), Answered)
        finally:
            may_abort.set()
        assert isinstance(silent.result(TIMEOUT_S), AnswerLate)


def test_refused_connection_or_unencodable_request_is_a_connect_failure() -> None:
    with run_server(answer_completely) as server:
        server_id = server.server_id
        unencodable = make_attempt(1, value="a\r\nInjected: b")
        assert isinstance(make_transport().send(server_id, unencodable), ConnectFailed)
    assert isinstance(make_transport().send(server_id, make_attempt(2)), ConnectFailed)


def test_an_attempt_that_ends_before_it_is_sent_is_a_connect_failure() -> None:
    class LateClock(SystemClock):
        def monotonic_s(self) -> float:
            times_s.append(times_s[-1] + 1.0)
            return times_s[-1]

    times_s = [0.0]
    with run_server(answer_completely) as server:
        transport = HttpTransport(clock=LateClock())
        result = transport.send(server.server_id, make_attempt(1, timeout_s=0.5))
        assert isinstance(result, ConnectFailed)


def test_reset_after_sending_is_not_a_connect_failure() -> None:
    def reset(conn: socket.socket, request_id: str) -> bool:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    with run_server(answer_completely, reset) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        result = transport.send(server.server_id, make_attempt(2))
        assert isinstance(result, SendBroken | AnswerBroken)


def test_shed_answer_has_a_retry_delay_and_a_load() -> None:
    def shed(request_id: str) -> bytes:
        fields = "Shed: not-run\r\nRetry-After: 0.5\r\nLoad: busy=3; slots=3\r\n"
        head = f"HTTP/1.1 503 No\r\nRequest-Id: {request_id}\r\n{fields}"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    with run_server(make_script(shed)) as server:
        result = make_transport().send(server.server_id, make_attempt(1))
        assert isinstance(result, ShedByServer)
        assert result.retry_after_s == 0.5
        assert result.load is not None
