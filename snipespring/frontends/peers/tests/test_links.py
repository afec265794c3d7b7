from collections import Counter
from collections.abc import Iterator
from threading import Thread

import pytest
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect
from websockets.sync.server import ServerConnection, serve

from snipespring.frontends.peers import PeerLinks, PeerServer, encode_message
from snipespring.frontends.peers.seal import Seal
from snipespring.records import (
    Address,
    HostId,
    Message,
    PeerFailed,
    Pull,
    PullReply,
    Versions,
)
from standins.harness import free_network

SECRET = b"a secret of a test fleet"
ADDRESS = Address(ip=f"{free_network()}.9.1", port=7400)
NONCE = b"n" * 16
PULL = Pull(sender=HostId("a"), held=Versions())
REPLY = PullReply(configuration=None, roster=None)


def answer(_: Message) -> Message:
    return REPLY


@pytest.fixture
def refused() -> Iterator[Counter[str]]:
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


def test_a_call_is_answered(refused: Counter[str]) -> None:
    links = PeerLinks(secret=SECRET)
    assert links.call(ADDRESS, PULL, timeout_s=5.0) == REPLY
    assert links.call(ADDRESS, PULL, timeout_s=5.0) == REPLY
    links.close()
    assert not refused


def test_a_wrong_secret_is_refused_and_counted(refused: Counter[str]) -> None:
    links = PeerLinks(secret=b"another secret")
    assert isinstance(links.call(ADDRESS, PULL, timeout_s=5.0), PeerFailed)
    assert refused == {"not authentic": 1}


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x82\x64Pull\xa0"])
def test_a_malformed_message_closes_the_link(
    refused: Counter[str], payload: bytes
) -> None:
    with connect(f"ws://{ADDRESS}/", proxy=None, compression=None) as conn:
        conn.send(NONCE)
        nonce = conn.recv(decode=False)
        assert isinstance(nonce, bytes)
        seal = Seal(secret=SECRET, nonce=NONCE + nonce, sending=b"C", receiving=b"S")
        conn.send(seal.close_frame(payload))
        with pytest.raises(ConnectionClosed):
            conn.recv(timeout=5.0)
    assert refused == {"malformed": 1}


def test_a_recorded_connection_is_refused_by_the_caller() -> None:
    recorded: list[bytes] = []

    def record(conn: ServerConnection) -> None:
        caller_nonce = conn.recv(decode=False)
        assert isinstance(caller_nonce, bytes)
        if not recorded:
            seal = Seal(
                secret=SECRET, nonce=caller_nonce + NONCE, sending=b"S", receiving=b"C"
            )
            recorded.append(seal.close_frame(encode_message(REPLY)))
        conn.send(NONCE)
        conn.recv()
        conn.send(recorded[0])

    server = serve(record, ADDRESS.ip, ADDRESS.port + 1, compression=None)
    thread = Thread(target=server.serve_forever)
    thread.start()
    address = Address(ip=ADDRESS.ip, port=ADDRESS.port + 1)
    links = [PeerLinks(secret=SECRET) for _ in range(2)]
    first, second = (link.call(address, PULL, timeout_s=5.0) for link in links)
    assert first == REPLY
    assert isinstance(second, PeerFailed)
    for link in links:
        link.close()
    server.shutdown()
    thread.join()
