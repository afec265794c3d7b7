import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipespring.decisions.replies import make_answer_reply
from snipespring.frontends.callers import CallersApp
from snipespring.frontends.callers.app import MalformedRequest, read_request
from snipespring.frontends.http_server import HttpServer
from snipespring.records import (
    Address,
    AddressAnswer,
    Answered,
    Header,
    Ran,
    Reply,
    Request,
)

TIMEOUT_S = 30.0


class EmptyInput:
    def read(self) -> bytes:
        return b""


def make_environ(**fields: str) -> dict[str, object]:
    return {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/a",
        "wsgi.input": EmptyInput(),
        **fields,
    }


def list_no_addresses(request: Request) -> AddressAnswer:
    return AddressAnswer(offers=(), lifetime_s=1.0)


def exchange(reply: Reply, sent: bytes, handled: list[Request]) -> bytes:
    """Return all that the server sends until it closes the connection."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])

    def handle(request: Request, is_disconnected: object) -> Reply:
        handled.append(request)
        return reply

    server = HttpServer(
        address=address,
        app=CallersApp(handle=handle, list_addresses=list_no_addresses),
        threads=2,
        max_body_bytes=1 << 20,
        connections=10,
    )
    server.start()
    try:
        with socket.create_connection((address.ip, address.port)) as conn:
            conn.settimeout(TIMEOUT_S)
            conn.sendall(sent)
            received = b""
            while part := conn.recv(65536):
                received += part
            return received
    finally:
        server.close()


def make_reply(answer: Answered) -> Reply:
    return make_answer_reply("r", answer)


def make_request(method: str, fields: str = "", body: str = "") -> bytes:
    head = f"{method} /a?b=c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{fields}"
    return f"{head}\r\n{body}".encode()


def test_head_reply_has_the_content_length_of_get() -> None:
    length = (Header(name="Content-Length", value="1234"),)
    reply = make_reply(Answered(status=200, headers=length, body=b""))
    received = exchange(reply, make_request("HEAD"), [])
    assert received.lower().count(b"content-length:") == 1
    assert b"Content-Length: 1234\r\n" in received
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("status", [204, 304])
def test_status_without_a_body_has_neither_body_nor_length(status: int) -> None:
    reply = make_reply(Answered(status=status, headers=(), body=b""))
    received = exchange(reply, make_request("GET"), [])
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"content-length" not in received.lower()
    assert received.endswith(b"\r\n\r\n")


def test_chunked_request_body_is_decoded() -> None:
    handled: list[Request] = []
    reply = make_reply(Answered(status=200, headers=(), body=b"ok"))
    chunks = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    sent = make_request("POST", "Transfer-Encoding: chunked\r\n", chunks)
    received = exchange(reply, sent, handled)
    assert received.endswith(b"\r\n\r\nok")
    assert [request.body for request in handled] == [b"abcde"]


def test_folded_header_of_a_server_cannot_inject_a_header() -> None:
    folded = (Header(name="A", value="x\r\n Injected: y\r\n\r\n"),)
    reply = make_reply(Answered(status=200, headers=folded, body=b"ok"))
    received = exchange(reply, make_request("GET"), [])
    assert b"A: x Injected: y\r\n" in received
    assert b"\r\nInjected" not in received


@pytest.mark.parametrize("text", ["", "-5", "1.5", "ten", "9" * 5000, "1\xb2"])
def test_malformed_deadline_makes_the_request_malformed(text: str) -> None:
    request = read_request(make_environ(HTTP_DEADLINE_MS=text))
    assert isinstance(request, MalformedRequest)


def test_malformed_deadline_is_answered_as_not_run() -> None:
    handled: list[Request] = []
    reply = Reply(request_id="r", status=200, outcome=Ran())
    received = exchange(reply, make_request("GET", "Deadline-Ms: soon\r\n"), handled)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"Snipespring-Outcome: not-run\r\n" in received
    assert handled == []


VISIBLE = st.characters(min_codepoint=0x21, max_codepoint=0x7E)
TARGETS = st.one_of(
    st.text(VISIBLE, max_size=40).map(lambda text: f"/{text}"),
    st.sampled_from(["/a%2Fb", "/%41", "//d", "/a//b", "/%", "/%zz?x=%", "/?a&&b=&"]),
)
FIELDS = st.lists(
    st.tuples(
        st.from_regex(r"[A-Za-z][A-Za-z0-9_-]{0,12}", fullmatch=True).map(
            lambda name: f"X-{name}"
        ),
        st.text(st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=20).map(
            str.strip
        ),
    ),
    max_size=4,
)


def make_framing(body: bytes, sizes: list[int] | None) -> tuple[str, bytes]:
    """Return the framing header field and the body, of known length or in chunks."""
    if sizes is None:
        return f"Content-Length: {len(body)}", body
    chunks, rest = b"", body
    for size in sizes:
        part, rest = rest[:size], rest[size:]
        if part:
            chunks += f"{len(part):x}\r\n".encode() + part + b"\r\n"
    if rest:
        chunks += f"{len(rest):x}\r\n".encode() + rest + b"\r\n"
    return "Transfer-Encoding: chunked", chunks + b"0\r\n\r\n"


@settings(max_examples=60)
@given(
    target=TARGETS,
    fields=FIELDS,
    body=st.binary(max_size=300),
    sizes=st.none() | st.lists(st.integers(min_value=1, max_value=100), max_size=4),
)
def test_request_is_read_as_it_was_sent(
    target: str,
    fields: list[tuple[str, str]],
    body: bytes,
    sizes: list[int] | None,
) -> None:
    framing, content = make_framing(body, sizes)
    lines = [f"POST {target} HTTP/1.1", "Host: a", "Connection: close", framing]
    lines += [f"{name}: {value}" for name, value in fields]
    handled: list[Request] = []
    reply = make_reply(Answered(status=200, headers=(), body=b""))
    sent = "\r\n".join(lines).encode() + b"\r\n\r\n" + content
    received = exchange(reply, sent, handled)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [request.path for request in handled] == [target]
    assert [request.body for request in handled] == [body]
    got = [
        (header.name, header.value) for request in handled for header in request.headers
    ]
    assert got == fields
