import socket
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

import pytest
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State
from websockets.sync.client import connect
from websockets.sync.server import ServerConnection, serve

from snipespring.frontends.peers import PeerServer, PooledPeerClient, encode_message
from snipespring.frontends.peers.authentication import FrameAuthenticator
from snipespring.records import (
    Address,
    HostId,
    Message,
    PeerFailed,
    Pull,
    PullReply,
    Versions,
)
from standins.harness import find_free_network, wait_until

SECRET = b"a secret of a test fleet"
ADDRESS = Address(ip=f"{find_free_network()}.9.1", port=7400)
NONCE = b"n" * 16
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
PULL = Pull(sender=HostId("a"), held=Versions())
REPLY = PullReply(configuration=None, roster=None)


def answer(_: Message) -> Message:
    return REPLY


@pytest.fixture
def refusals() -> Iterator[Counter[str]]:
    counts: Counter[str] = Counter()
    server = PeerServer(
        address=ADDRESS,
        secret=SECRET,
        answer=answer,
        count_refused=lambda reason: counts.update([reason]),
    )
    server.start()
    yield counts
    server.close()


def test_a_call_is_answered(refusals: Counter[str]) -> None:
    client = PooledPeerClient(secret=SECRET)
    assert client.call(ADDRESS, PULL, timeout_s=5.0) == REPLY
    assert client.call(ADDRESS, PULL, timeout_s=5.0) == REPLY
    client.close()
    assert not refusals


def test_a_wrong_secret_is_refused_and_counted(refusals: Counter[str]) -> None:
    client = PooledPeerClient(secret=b"another secret")
    assert isinstance(client.call(ADDRESS, PULL, timeout_s=5.0), PeerFailed)
    assert refusals == {"not authentic": 1}


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x82\x64Pull\xa0"])
def test_a_malformed_message_closes_the_connection(
    refusals: Counter[str], payload: bytes
) -> None:
    with connect(f"ws://{ADDRESS}/", proxy=None, compression=None) as conn:
        conn.send(NONCE)
        nonce = conn.recv(decode=False)
        assert isinstance(nonce, bytes)
        authenticator = FrameAuthenticator(
            secret=SECRET, nonce=NONCE + nonce, send_label=b"C", receive_label=b"S"
        )
        conn.send(authenticator.sign_frame(payload))
        with pytest.raises(ConnectionClosed):
            conn.recv(timeout=5.0)
    assert refusals == {"malformed": 1}


def test_a_replayed_connection_is_refused_by_the_client() -> None:
    recorded: list[bytes] = []

    def replay(conn: ServerConnection) -> None:
        client_nonce = conn.recv(decode=False)
        assert isinstance(client_nonce, bytes)
        if not recorded:
            authenticator = FrameAuthenticator(
                secret=SECRET,
                nonce=client_nonce + NONCE,
                send_label=b"S",
                receive_label=b"C",
            )
            recorded.append(authenticator.sign_frame(encode_message(REPLY)))
        conn.send(NONCE)
        conn.recv()
        conn.send(recorded[0])

    server = serve(replay, ADDRESS.ip, ADDRESS.port + 1, compression=None)
    thread = Thread(target=server.serve_forever)
    thread.start()
    address = Address(ip=ADDRESS.ip, port=ADDRESS.port + 1)
    clients = [PooledPeerClient(secret=SECRET) for _ in range(2)]
    first, second = (client.call(address, PULL, timeout_s=5.0) for client in clients)
    assert first == REPLY
    assert isinstance(second, PeerFailed)
    for client in clients:
        client.close()
    server.shutdown()
    thread.join()


def test_close_does_not_wait_for_an_unresponsive_peer() -> None:
    server = PeerServer(address=ADDRESS, secret=SECRET, answer=answer)
    server.start()
    with (
        socket.create_connection((ADDRESS.ip, ADDRESS.port), timeout=5.0) as sock,
        ThreadPoolExecutor(1) as pool,
    ):
        sock.sendall(UPGRADE)
        assert sock.recv(12) == b"HTTP/1.1 101"
        pool.submit(server.close).result(timeout=5.0)


def test_a_connection_without_a_nonce_is_closed() -> None:
    opened: list[ServerConnection] = []

    def stay_silent(conn: ServerConnection) -> None:
        opened.append(conn)
        for _ in conn:
            pass

    with serve(stay_silent, ADDRESS.ip, ADDRESS.port) as silent:
        Thread(target=silent.serve_forever, daemon=True).start()
        client = PooledPeerClient(secret=SECRET)
        result = client.call(ADDRESS, PULL, timeout_s=1.0)
        assert isinstance(result, PeerFailed)
        wait_until(lambda: bool(opened), "the connection to be opened")
        wait_until(
            lambda: opened[0].state is State.CLOSED, "the connection to be closed"
        )
