"""Send requests to servers that refuse, and whose refusals come again in part."""

import socket
import time
from collections.abc import Callable
from functools import partial
from itertools import permutations

import pytest
from attrs import evolve

from snipespring.decisions.attempts import outcome_of
from snipespring.frontends.backends.tests.scripted_server import (
    TIMEOUT_S,
    make_script,
    run_server,
)
from snipespring.platform.tests.answers import (
    make_refusal,
    make_request,
    make_success,
    make_transport,
    make_whole_success,
)
from snipespring.records import Answered, BackendResult, ShedByServer, Unknown

HEAD_END = b"\r\n\r\n"
STATUSES_WITHOUT_MARK = (200, 204, 301, 404, 408, 500, 502, 504)


def order_fields(head: bytes, order: tuple[int, ...]) -> bytes:
    status_line, *fields = head.removesuffix(HEAD_END).split(b"\r\n")
    return b"\r\n".join([status_line, *(fields[index] for index in order)]) + HEAD_END


def fail(request_id: str) -> bytes:
    answer = make_success(request_id, "Content-Length: 5\r\n")
    return answer.replace(b"200 OK", b"500 Failed", 1)


def join(part: bytes, make_answer: Callable[[str], bytes], request_id: str) -> bytes:
    return part + make_answer(request_id)


def is_unknown(result: BackendResult) -> bool:
    """Return whether the request may have run."""
    return isinstance(outcome_of(result), Unknown)


def send_behind(first: bytes, make_second: Callable[[str], bytes]) -> BackendResult:
    """Return the result of the second of two requests on one connection."""
    with run_server(
        make_script(lambda _: first), make_script(make_second, stays_open=False)
    ) as server:
        transport = make_transport()
        # A first attempt that ends without its answer leaves no connection to reuse.
        patient = evolve(make_request(1), timeout_s=TIMEOUT_S)
        transport.send(server.server_id, patient)
        result = transport.send(server.server_id, make_request(2))
        assert server.connections == 1
        return result


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("order", [*permutations(range(4))])
def test_a_part_of_a_refusal_before_an_answer_does_not_refuse_the_request_that_ran(
    status: int, order: tuple[int, ...]
) -> None:
    # Guards against a promise put together from the heads of two answers (REFUSED).
    refusal = order_fields(make_refusal("caller-1", status), order)
    for size in range(1, len(refusal), 3):
        second = partial(join, refusal[:size], make_whole_success)
        assert is_unknown(send_behind(refusal, second)), refusal[:size]


def test_a_part_of_a_success_before_a_failure_is_not_relayed_as_a_success() -> None:
    # Guards against a 500 that is passed on as a 200 with the earlier seal (MIXED).
    success = make_whole_success("caller-1")
    for size in range(1, success.index(HEAD_END) + len(HEAD_END)):
        second = partial(join, success[:size], fail)
        assert is_unknown(send_behind(success, second)), success[:size]


@pytest.mark.parametrize("status", [503, 421])
def test_a_refusal_repeated_under_the_same_id_does_not_refuse_the_attempt_that_ran(
    status: int,
) -> None:
    # Guards against an id that stands for two attempts on one connection (REFUSED).
    refusal = make_refusal("caller-1", status)
    conns: list[socket.socket] = []

    def refuse(conn: socket.socket, _: str) -> bool:
        conns.append(conn)
        conn.sendall(refusal)
        return True

    def repeat(conn: socket.socket, request_id: str) -> bool:
        conns[0].sendall(refusal)
        time.sleep(0.01)
        conn.sendall(make_whole_success(request_id))
        return False

    with run_server(refuse, repeat) as server:
        transport = make_transport()
        first = transport.send(server.server_id, make_request(1))
        assert isinstance(first, ShedByServer)
        again = evolve(make_request(2), caller_request_id="caller-1")
        result = transport.send(server.server_id, again)
    assert not isinstance(result, ShedByServer)


def test_an_id_that_is_sent_again_goes_over_another_connection() -> None:
    with run_server(*[make_script(make_whole_success)] * 4) as server:
        transport = make_transport()
        sent = (make_request(1), make_request(2), make_request(1), make_request(3))
        for attempt in sent:
            result = transport.send(server.server_id, attempt)
            assert isinstance(result, Answered)
        assert server.connections == 2


@pytest.mark.parametrize("status", STATUSES_WITHOUT_MARK)
def test_a_mark_beside_a_status_that_cannot_bear_it_promises_nothing(
    status: int,
) -> None:
    # Guards against a mark of another answer that counts beside any status (REFUSED).
    with run_server(make_script(partial(make_refusal, status=status))) as server:
        result = make_transport().send(server.server_id, make_request(1))
    assert is_unknown(result)


REFUSAL = make_refusal("caller-1")
MARK = b"Snipespring-Not-Executed: 1\r\n"
UNCERTAIN: dict[str, bytes] = {
    "bare CR in a value": fail("caller-1").replace(
        b"3e1b", b"3e1b\r" + MARK.rstrip(b"\r\n")
    ),
    "folded line": REFUSAL.replace(MARK, b"A: b\r\n " + MARK),
    "line without CR": REFUSAL.replace(MARK, MARK.replace(b"\r", b"")),
    "no name": REFUSAL.replace(MARK, b": b\r\n" + MARK),
    "no colon": REFUSAL.replace(MARK, b"none\r\n" + MARK),
    "space in a name": REFUSAL.replace(MARK, b"A b: c\r\n" + MARK),
    "space before a colon": REFUSAL.replace(b"Executed:", b"Executed :"),
    "zero byte in a value": REFUSAL.replace(MARK, b"A: \0\r\n" + MARK),
    "status line in a value": REFUSAL.replace(MARK, MARK + b"A: HTTP/1.1 200 OK\r\n"),
    "status line in a reason": REFUSAL.replace(b"503 No", b"503 HTTP/1.1 200 OK"),
    "status line with two spaces": REFUSAL.replace(b"1.1 503", b"1.1  503"),
    "another version": REFUSAL.replace(b"HTTP/1.1", b"HTTP/1.7"),
    "switched protocols": REFUSAL.replace(b"503 No", b"101 No"),
    "the length twice": REFUSAL.replace(MARK, MARK + b"Content-Length: 0\r\n"),
}


@pytest.mark.parametrize("fault", sorted(UNCERTAIN))
def test_a_head_that_is_not_one_answer_promises_nothing(fault: str) -> None:
    # Guards against a promise from a head that can be read in two ways (REFUSED).
    content = UNCERTAIN[fault]
    assert content not in (REFUSAL, fail("caller-1"))
    with run_server(make_script(lambda _: content, stays_open=False)) as server:
        result = make_transport().send(server.server_id, make_request(1))
    assert is_unknown(result)


REPEATED_FIELDS: dict[str, bytes] = {
    "two ids": REFUSAL.replace(MARK, MARK + b"Snipespring-Request-Id: caller-2\r\n"),
    "the same id twice": REFUSAL.replace(
        MARK, MARK + b"Snipespring-Request-Id: caller-1\r\n"
    ),
    "the mark twice": REFUSAL.replace(MARK, MARK + MARK),
    "two instances": REFUSAL.replace(MARK, MARK + b"Snipespring-Instance-Id: i-2\r\n"),
}


@pytest.mark.parametrize("fault", sorted(REPEATED_FIELDS))
def test_a_refusal_with_a_field_that_stands_twice_promises_nothing(fault: str) -> None:
    # Guards against a promise that takes the first of two ids or marks (REFUSED).
    content = REPEATED_FIELDS[fault]
    with run_server(make_script(lambda _: content, stays_open=False)) as server:
        result = make_transport().send(server.server_id, make_request(1))
    assert is_unknown(result)


def test_a_refusal_behind_an_answer_to_another_request_promises_nothing() -> None:
    # Guards against a promise from a connection that is out of step (REFUSED).
    repeated = make_whole_success("caller-1")
    with run_server(
        make_script(make_whole_success),
        make_script(partial(join, repeated, make_refusal)),
        make_script(partial(join, repeated, make_whole_success)),
    ) as server:
        transport = make_transport()
        transport.send(server.server_id, make_request(1))
        result = transport.send(server.server_id, make_request(2))
        assert is_unknown(result)
        assert transport.pool.count_idle() == 0


def test_whole_refusals_are_promises() -> None:
    for status in (503, 429, 421, 400):
        with run_server(make_script(partial(make_refusal, status=status))) as server:
            result = make_transport().send(server.server_id, make_request(1))
        assert isinstance(result, ShedByServer), status


def test_a_whole_answer_behind_one_to_another_request_is_relayed() -> None:
    result = send_behind(REFUSAL, partial(join, REFUSAL, make_whole_success))
    assert isinstance(result, Answered)
    assert result.origin is not None
    assert (result.origin.earlier_answers, result.origin.skipped_answers) == (1, 1)
