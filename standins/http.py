"""Serve HTTP/1.1 for the stand-ins and decode messages into records."""

import json
import signal
import socket
import socketserver
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import field, frozen

__all__ = [
    "Application",
    "CloseConnection",
    "Header",
    "Reply",
    "Request",
    "Response",
    "Server",
    "TruncatedResponse",
    "json_response",
    "run_server",
    "start_server",
]

ACCEPT_BACKLOG = 1024
WRITE_BUFFER_BYTES = 65536
SHUTDOWN_POLL_S = 3600.0  # between checks of the server thread for a shutdown


@frozen(kw_only=True)
class Header:
    """Describe one header field."""

    name: str
    value: str


@frozen(kw_only=True)
class Request:
    """Describe a received request."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the decoded path without the query."""
        return unquote(urlsplit(self.target).path)

    def query(self, name: str, default: str = "") -> str:
        """Return the first value of the query parameter."""
        values = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return values.get(name, [default])[0]

    def has_query(self, name: str) -> bool:
        """Return whether the query names the parameter."""
        return name in parse_qs(urlsplit(self.target).query, keep_blank_values=True)

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of the header field, ignoring the case of its name."""
        wanted = name.lower()
        values = (h.value for h in self.headers if h.name.lower() == wanted)
        return next(values, default)

    def json(self) -> Any:
        """Return the decoded body; raise ValueError if it is not JSON."""
        return json.loads(self.body)

    def json_object(self) -> dict[str, Any]:
        """Return the decoded body; raise ValueError if it is not a JSON object."""
        content = self.json()
        if not isinstance(content, dict):
            raise ValueError("request body is not a JSON object")
        return content


@frozen(kw_only=True)
class Response:
    """Describe a response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@frozen(kw_only=True)
class TruncatedResponse:
    """Send the Content-Length of the whole body but only half of it, then close."""

    response: Response


@frozen(kw_only=True)
class CloseConnection:
    """Close the connection without an answer."""


Reply = Response | TruncatedResponse | CloseConnection


def json_response(content: Any, *, status: int = 200) -> Response:
    """Return a response with the content as JSON."""
    kind = Header(name="Content-Type", value="application/json")
    return Response(status=status, headers=(kind,), body=json.dumps(content).encode())


class Application(Protocol):
    """Answer the requests of a server."""

    def connect(self) -> bool:
        """Admit a new connection; return False to close it."""

    def disconnect(self) -> None:
        """Stop counting an admitted connection, which was closed."""

    def accepts_body(self, target: str) -> bool:
        """Return whether to read the body; if not, close the connection unanswered."""

    def answer(self, req: Request, conn: socket.socket) -> Reply:
        """Return the reply; raise ValueError or KeyError for a malformed request."""


class Server(ThreadingHTTPServer):
    """Listen on one address with one thread per connection."""

    daemon_threads = True
    request_queue_size = ACCEPT_BACKLOG

    def __init__(self, *, host: str, port: int, app: Application) -> None:
        self.app = app
        super().__init__((host, port), _RequestHandler)

    def server_bind(self) -> None:
        """Bind without a name lookup."""
        socketserver.TCPServer.server_bind(self)
        self.server_name = str(self.server_address[0])
        self.server_port = int(self.server_address[1])

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that the peer reset; report any other error."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class _RequestHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = WRITE_BUFFER_BYTES
    server: Server

    def handle(self) -> None:
        if not self.server.app.connect():
            return
        try:
            super().handle()
        finally:
            self.server.app.disconnect()

    def __getattr__(self, name: str) -> Any:
        if name.startswith("do_"):
            return self._handle_request
        raise AttributeError(name)

    def handle_expect_100(self) -> bool:
        if not self.server.app.accepts_body(self.path):
            return True
        super().handle_expect_100()
        self.wfile.flush()
        return True

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def _handle_request(self) -> None:
        if not self.server.app.accepts_body(self.path):
            self.close_connection = True
            return
        try:
            req = self._read_request()
        except (EOFError, ValueError):
            self.close_connection = True
            return
        self._send(self._answer(req))

    def _answer(self, req: Request) -> Reply:
        try:
            return self.server.app.answer(req, self.connection)
        except (ValueError, KeyError) as exc:
            return Response(status=400, body=f"{exc}\n".encode())

    def _read_request(self) -> Request:
        items = self.headers.items()
        return Request(
            method=self.command,
            target=self.path,
            headers=tuple(Header(name=name, value=value) for name, value in items),
            body=self._read_body(),
        )

    def _read_body(self) -> bytes:
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            return self._read_chunks()
        return self._read_exactly(int(self.headers.get("Content-Length", 0)))

    def _read_chunks(self) -> bytes:
        chunks = []
        while size := int(self.rfile.readline().split(b";")[0] or b"-1", 16):
            chunks.append(self._read_exactly(size))
            self.rfile.readline()
        while self.rfile.readline().strip():
            pass
        return b"".join(chunks)

    def _read_exactly(self, size: int) -> bytes:
        if size < 0:
            raise EOFError("connection closed before the end of the request body")
        body = self.rfile.read(size)
        if len(body) < size:
            raise EOFError("connection closed before the end of the request body")
        return body

    def _send(self, reply: Reply) -> None:
        match reply:
            case CloseConnection():
                self.close_connection = True
            case TruncatedResponse(response=response):
                self._send_response(response, len(response.body) // 2)
                self.close_connection = True
            case Response():
                self._send_response(reply, len(reply.body))

    def _send_response(self, response: Response, sent_bytes: int) -> None:
        self.send_response_only(response.status)
        for header in response.headers:
            self.send_header(header.name, header.value)
        if response.status != 304:
            self.send_header("Content-Length", str(len(response.body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(response.body[:sent_bytes])
        self.wfile.flush()


@frozen(kw_only=True)
class Address:
    """Describe an address to listen on."""

    host: str
    port: int = field(converter=int)


def parse_listen_address(text: str) -> Address:
    """Parse an address of the form IP:PORT; raise ValueError for other forms."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=port)


def start_server(*, listen: str, app: Application) -> Server:
    """Start serving the application in a background thread."""
    address = parse_listen_address(listen)
    server = Server(host=address.host, port=address.port, app=app)
    threading.Thread(
        target=server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True
    ).start()
    return server


def run_server(*, listen: str, app: Application) -> None:
    """Serve the application until SIGTERM or SIGINT."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    server = start_server(listen=listen, app=app)
    print(f"listening {server.server_name}:{server.server_port}", flush=True)
    stop.wait()
    server.server_close()
