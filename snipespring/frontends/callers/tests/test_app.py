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

LIMIT_S = 30.0


class EmptyInput:
    def read(self) -> bytes:
        return b""


def environ(**fields: str) -> dict[str, object]:
    return {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/a",
        "wsgi.input": EmptyInput(),
        **fields,
    }


def no_addresses(request: Request) -> AddressAnswer:
    return AddressAnswer(offers=(), lifetime_s=1.0)


def exchange(reply: Reply, sent: bytes, seen: list[Request]) -> bytes:
    """Return all that the server sends until it closes the connection."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])

    def handle(request: Request, is_gone: object) -> Reply:
        seen.append(request)
        return reply

    server = HttpServer(
        address=address,
        app=CallersApp(handle=handle, list_addresses=no_addresses),
        threads=2,
        max_body_bytes=1 << 20,
        connections=10,
    )
    server.start()
    try:
        with socket.create_connection((address.ip, address.port)) as conn:
            conn.settimeout(LIMIT_S)
            conn.sendall(sent)
            received = b""
            while part := conn.recv(65536):
                received += part
            return received
    finally:
        server.close()


def reply_of(answer: Answered) -> Reply:
    return make_answer_reply("r", answer)


def request(method: str, fields: str = "", body: str = "") -> bytes:
    head = f"{method} /a?b=c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{fields}"
    return f"{head}\r\n{body}".encode()


def test_head_states_the_length_that_get_would_have() -> None:
    length = (Header(name="Content-Length", value="1234"),)
    reply = reply_of(Answered(status=200, headers=length, body=b""))
    received = exchange(reply, request("HEAD"), [])
    assert received.lower().count(b"content-length:") == 1
    assert b"Content-Length: 1234\r\n" in received
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("status", [204, 304])
def test_status_without_a_body_has_neither_body_nor_length(status: int) -> None:
    reply = reply_of(Answered(status=status, headers=(), body=b""))
    received = exchange(reply, request("GET"), [])
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"content-length" not in received.lower()
    assert received.endswith(b"\r\n\r\n")


def test_chunked_request_is_read_whole() -> None:
    seen: list[Request] = []
    reply = reply_of(Answered(status=200, headers=(), body=b"ok"))
    chunks = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    sent = request("POST", "Transfer-Encoding: chunked\r\n", chunks)
    received = exchange(reply, sent, seen)
    assert received.endswith(b"\r\n\r\nok")
    assert [one.body for one in seen] == [b"abcde"]


def test_folded_header_of_a_server_cannot_inject_a_header() -> None:
    folded = (Header(name="A", value="x\r\n Injected: y\r\n\r\n"),)
    reply = reply_of(Answered(status=200, headers=folded, body=b"ok"))
    received = exchange(reply, request("GET"), [])
    assert b"A: x Injected: y\r\n" in received
    assert b"\r\nInjected" not in received


@pytest.mark.parametrize("text", ["", "-5", "1.5", "ten", "9" * 5000, "1\xb2"])
def test_malformed_deadline_is_refused_as_not_run(text: str) -> None:
    read = read_request(environ(HTTP_DEADLINE_MS=text))
    assert isinstance(read, MalformedRequest)


def test_malformed_deadline_is_never_handled() -> None:
    seen: list[Request] = []
    reply = Reply(request_id="r", status=200, outcome=Ran())
    received = exchange(reply, request("GET", "Deadline-Ms: soon\r\n"), seen)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"Snipespring-Outcome: not-run\r\n" in received
    assert seen == []


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


def frame(body: bytes, sizes: list[int] | None) -> tuple[str, bytes]:
    """Return the framing field and the body with a length or in chunks."""
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
    framing, content = frame(body, sizes)
    lines = [f"POST {target} HTTP/1.1", "Host: a", "Connection: close", framing]
    lines += [f"{name}: {value}" for name, value in fields]
    seen: list[Request] = []
    reply = reply_of(Answered(status=200, headers=(), body=b""))
    sent = "\r\n".join(lines).encode() + b"\r\n\r\n" + content
    received = exchange(reply, sent, seen)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [one.path for one in seen] == [target]
    assert [one.body for one in seen] == [body]
    got = [(header.name, header.value) for one in seen for header in one.headers]
    assert got == fields
