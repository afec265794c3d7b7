import http.client
import time
from collections.abc import Callable, Iterator

import pytest
from attrs import frozen

from standins.backend import BackendApplication, BackendSettings
from standins.http import Application, Server, start_server
from standins.store import StoreApplication

TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01


@frozen(kw_only=True)
class Answer:
    status: int
    headers: http.client.HTTPMessage
    body: bytes


@frozen(kw_only=True)
class Client:
    port: int
    app: Application

    def open_connection(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)

    def call(
        self, method: str, target: str, body: bytes = b"", **headers: str
    ) -> Answer:
        conn = self.open_connection()
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            conn.request(method, target, body, fields)
            reply = conn.getresponse()
            return Answer(status=reply.status, headers=reply.headers, body=reply.read())
        finally:
            conn.close()

    def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            if condition():
                return
            time.sleep(POLL_INTERVAL_S)
        pytest.fail("the condition was never met")


@pytest.fixture
def launch() -> Iterator[Callable[[Application], Client]]:
    servers: list[Server] = []

    def launch_one(app: Application) -> Client:
        servers.append(start_server(listen="127.0.0.1:0", app=app))
        return Client(port=servers[-1].server_port, app=app)

    yield launch_one
    for server in servers:
        server.server_close()


@pytest.fixture
def store(launch: Callable[[Application], Client]) -> Client:
    return launch(StoreApplication())


@pytest.fixture
def backend(launch: Callable[[Application], Client]) -> Callable[..., Client]:
    def launch_backend(*, slots: int = 3, queue: int = 3) -> Client:
        settings = BackendSettings(
            service="ledger", work_s=0.001, slots=slots, queue=queue
        )
        return launch(BackendApplication(settings=settings))

    return launch_backend
