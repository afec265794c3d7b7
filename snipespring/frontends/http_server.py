"""Serve a WSGI application on one address, and drain it without aborting requests."""

import logging
import socket
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

from attrs import define, field
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import WSGITask
from waitress.wasyncore import dispatcher

from ..records import Address
from ..utils import SystemClock
from .http_bodies import BodyBudget, UnlimitedBodies
from .http_requests import DEFAULT_MAX_HEAD_BYTES, RequestParser
from .sockets import is_readable

__all__ = ["FIELDS_KEY", "Environ", "HttpServer", "StartResponse", "WsgiApp"]

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

FIELDS_KEY = "snipespring.fields"  # the header fields as received
SPILL_THRESHOLD_BYTES = 1 << 31  # keeps bodies in memory, never in temporary files
IDLE_CHECK_INTERVAL_S = 0.05
POLL_TIMEOUT_S = (
    30  # longest time between checks for idle connections; traffic wakes the loop
)
LISTENER_TIMEOUT_S = 1.0
# A new connection is kept for this time, since its first request may be on its way.
FIRST_REQUEST_S = 0.25
# After the last answer, this long is waited for the caller to close the connection.
LINGER_S = 0.5
LOOKAHEAD_REQUESTS = 16  # reading ahead detects that a caller has disconnected
# Unsent bytes of a connection are counted in steps of this size, so that small answers
# cost nothing.
UNSENT_STEP_BYTES = 65536

log = logging.getLogger(__name__)

# Waitress reads the time of day, which may jump; the server and its channels measure
# their times by this clock instead.
_read_s = SystemClock().monotonic_s


class _ThreadPoolDispatcher:
    """Run tasks on a pool whose threads start on demand."""

    def __init__(self, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._running: set[Future[None]] = set()

    def add_task(self, task: Any) -> None:
        """Run a task as soon as a thread is free."""
        fut = self._pool.submit(self._run, task)
        self._running.add(fut)
        fut.add_done_callback(self._running.discard)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Accept no more tasks; return whether the running ones ended in time."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return not wait(set(self._running), timeout).not_done

    def _run(self, task: Any) -> None:
        try:
            task.service()
        except Exception:
            log.exception("could not serve an HTTP request")


class _DrainingTask(WSGITask):  # type: ignore[misc]
    """Close the connection after the response while the server drains."""

    def service(self) -> None:
        """Serve the request, with `Connection: close` while draining."""
        if self.channel.server.adj.draining.is_set():
            self.request.headers["CONNECTION"] = "close"
        super().service()

    def get_environment(self) -> Environ:
        """Return the WSGI environment with the header fields as received."""
        environ: Environ = super().get_environment()
        environ[FIELDS_KEY] = self.request.fields
        return environ


class _DrainingChannel(HTTPChannel):  # type: ignore[misc]
    """Serve requests by draining tasks, within the memory budget for bodies."""

    task_class = _DrainingTask
    parser_class = RequestParser
    request: Any = None
    linger_until_s: float | None = None
    _is_writing = False
    _created_s: float | None = None
    _active_s = 0.0
    _unsent_bytes = 0
    _counted_bytes = 0

    @property
    def creation_time(self) -> float:
        """Return the monotonic time in seconds at which the channel was created."""
        return self._active_s if self._created_s is None else self._created_s

    @creation_time.setter
    def creation_time(self, _: float) -> None:
        self._created_s = _read_s()

    @property
    def last_activity(self) -> float:
        """Return the monotonic time in seconds of the last traffic."""
        return self._active_s

    @last_activity.setter
    def last_activity(self, _: float) -> None:
        self._active_s = _read_s()

    @property
    def total_outbufs_len(self) -> int:
        """Return the bytes of answers that have not left this host."""
        return self._unsent_bytes

    @total_outbufs_len.setter
    def total_outbufs_len(self, size_bytes: int) -> None:
        """Count large answers in the budget for bodies until the caller has read them.

        A caller that reads slowly leaves its answers in memory. They are ready and are
        delivered, so they are counted even if they exceed the budget; it is other
        bodies that are refused then.
        """
        self._unsent_bytes = size_bytes
        counted = size_bytes - size_bytes % UNSENT_STEP_BYTES
        change, self._counted_bytes = counted - self._counted_bytes, counted
        if change > 0:
            self.adj.body_budget.add(change)
        elif change < 0:
            self.adj.body_budget.release(-change)

    def readable(self) -> bool:
        """Return whether to read, also to discard what follows the last answer."""
        return self.linger_until_s is not None or bool(super().readable())

    def writable(self) -> bool:
        """Return whether there is an answer to send or the channel is to be closed."""
        match self.linger_until_s:
            case None:
                return bool(super().writable())
            case until_s:
                return _read_s() >= until_s

    def handle_read(self) -> None:
        """Read requests, or discard what follows the last answer."""
        if self.linger_until_s is None:
            super().handle_read()
        else:
            self.recv(self.adj.recv_bytes)

    def handle_write(self) -> None:
        """Send what is buffered; close the channel after the last answer."""
        self._is_writing = True
        try:
            super().handle_write()
        finally:
            self._is_writing = False

    def handle_close(self) -> None:
        """Close the channel and release the memory of a partly received body.

        While the caller may still send, only this side of the connection is closed:
        bytes that arrive at a closed connection reset it, and the end of the last
        answer would be lost.
        """
        if self._is_writing and self.linger_until_s is None and self._begin_linger():
            return
        super().handle_close()
        with self.requests_lock:
            request, self.request = self.request, None
        if request is not None:
            request.close()

    def is_idle(self, now_s: float) -> bool:
        """Return whether the connection can be closed without losing a request."""
        if self.requests or self.request or self.total_outbufs_len:
            return False
        if self.linger_until_s is not None:
            return now_s >= self.linger_until_s
        is_new = now_s - self.creation_time < FIRST_REQUEST_S
        return not is_new and not is_readable(self.socket)

    def _begin_linger(self) -> bool:
        """Close this side of the connection; return whether to wait for the caller."""
        is_draining = self.server.adj.draining.is_set()
        if not (is_draining or is_readable(self.socket)):
            return False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self.linger_until_s = _read_s() + LINGER_S
        return True


class _DrainingServer(TcpWSGIServer):  # type: ignore[misc]
    """Accept connections, and close idle ones by the monotonic clock."""

    channel_class = _DrainingChannel
    next_cleanup_s = 0.0

    def readable(self) -> bool:
        """Return whether to accept connections; close the idle ones when due."""
        now_s = _read_s()
        if now_s >= self.next_cleanup_s:
            self.next_cleanup_s = now_s + self.adj.cleanup_interval
            super().maintenance(now_s)
        return bool(super().readable())

    def maintenance(self, now: float) -> None:
        """Do nothing, as `now` is a time of day; `readable` closes idle channels."""


@define(kw_only=True, eq=False)
class HttpServer:
    """Serve an application with a bounded number of threads and connections."""

    address: Address
    app: WsgiApp
    threads: int
    max_body_bytes: int
    connections: int
    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    body_budget: BodyBudget = field(factory=UnlimitedBodies)
    _server: TcpWSGIServer = field(init=False, default=None)
    _thread: threading.Thread | None = field(init=False, default=None)
    _draining: threading.Event = field(factory=threading.Event, init=False)
    _is_listener_closed: threading.Event = field(factory=threading.Event, init=False)

    def start(self) -> None:
        """Start to listen; raise OSError if the address is in use."""
        adj = Adjustments(
            host=self.address.ip,
            port=self.address.port,
            max_request_header_size=self.max_head_bytes,
            max_request_body_size=self.max_body_bytes,
            connection_limit=self.connections,
            inbuf_overflow=SPILL_THRESHOLD_BYTES,
            outbuf_overflow=SPILL_THRESHOLD_BYTES,
            channel_request_lookahead=LOOKAHEAD_REQUESTS,
            asyncore_loop_timeout=POLL_TIMEOUT_S,
            asyncore_use_poll=True,
            ident=None,
        )
        adj.draining = self._draining
        adj.body_budget = self.body_budget
        server = _DrainingServer(
            self.app, dispatcher=_ThreadPoolDispatcher(self.threads), adj=adj
        )
        self._server = server
        self._thread = threading.Thread(target=server.run, name="http", daemon=True)
        self._thread.start()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._draining.set()

    def stop_listening(self) -> None:
        """Accept the connections that wait, then no more, and drain the open ones."""
        self.drain()
        self._server.trigger.pull_trigger(self._close_listener)
        self._is_listener_closed.wait(LISTENER_TIMEOUT_S)

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return False on a timeout."""
        never_set = threading.Event()
        until_s = _read_s() + timeout_s
        while self._is_busy():
            remaining_s = until_s - _read_s()
            if remaining_s <= 0.0:
                return False
            never_set.wait(min(IDLE_CHECK_INTERVAL_S, remaining_s))
        return True

    def close(self) -> None:
        """Close every connection and stop the threads."""
        self._server.task_dispatcher.shutdown(cancel_pending=False, timeout=1)
        self._server.trigger.pull_trigger(self._close_all)
        if self._thread is not None:
            self._thread.join(1.0)
        self._server.trigger.close()

    def _is_busy(self) -> bool:
        now_s = _read_s()
        channels = list(self._server.active_channels.values())
        return not all(channel.is_idle(now_s) for channel in channels)

    def _close_listener(self) -> None:
        for _ in range(self._server.adj.backlog):
            if not is_readable(self._server.socket):
                break
            self._server.handle_accept()
        dispatcher.close(self._server)
        self._is_listener_closed.set()

    def _close_all(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        dispatcher.close(self._server)
        # The loop ends once the trigger is unregistered. The trigger's descriptors
        # stay open, since another thread may still write to them.
        self._server.trigger.del_channel()
