from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from snipespring.frontends.peers.authentication import FrameAuthenticator

SECRET = b"a secret of a test fleet"
NONCE = b"n" * 16
payloads = st.binary(max_size=20)


def make_pair(nonce: bytes = NONCE) -> tuple[FrameAuthenticator, FrameAuthenticator]:
    client = FrameAuthenticator(
        secret=SECRET, nonce=nonce, send_label=b"C", receive_label=b"S"
    )
    server = FrameAuthenticator(
        secret=SECRET, nonce=nonce, send_label=b"S", receive_label=b"C"
    )
    return client, server


@define(kw_only=True)
class Side:
    seal: FrameAuthenticator
    sent: list[tuple[bytes, bytes]] = field(factory=list)
    opened: int = 0


class LinkMachine(RuleBasedStateMachine):
    """Let a network replay, reorder, reflect and change frames at will."""

    def __init__(self) -> None:
        super().__init__()
        client, server = make_pair()
        self.sides = (Side(seal=client), Side(seal=server))

    @rule(index=st.integers(0, 1), payload=payloads)
    def send(self, index: int, payload: bytes) -> None:
        side = self.sides[index]
        side.sent.append((side.seal.sign_frame(payload), payload))

    @precondition(lambda self: any(side.sent for side in self.sides))
    @rule(source=st.integers(0, 1), receiver=st.integers(0, 1), place=st.integers(0, 9))
    def deliver(self, source: int, receiver: int, place: int) -> None:
        sent = self.sides[source].sent
        if not sent:
            return
        index = place % len(sent)
        frame, payload = sent[index]
        side = self.sides[receiver]
        opened = side.seal.verify_frame(frame)
        if source != receiver and index == side.opened:
            assert opened == payload
            side.opened += 1
        else:
            assert opened is None

    @rule(index=st.integers(0, 1), frame=st.binary(max_size=60))
    def forge(self, index: int, frame: bytes) -> None:
        assert self.sides[index].seal.verify_frame(frame) is None


TestLinkMachine = LinkMachine.TestCase


@given(payloads, st.integers(0, 100), st.integers(1, 255))
def test_a_changed_or_truncated_frame_is_refused(
    payload: bytes, place: int, change: int
) -> None:
    client, server = make_pair()
    frame = client.sign_frame(payload)
    changed = bytearray(frame)
    changed[place % len(frame)] ^= change
    assert server.verify_frame(bytes(changed)) is None
    assert server.verify_frame(frame[: place % len(frame)]) is None
    assert server.verify_frame(frame) == payload


def test_a_frame_of_another_connection_is_refused() -> None:
    frame = make_pair(b"a" * 16)[0].sign_frame(b"x")
    assert make_pair(b"b" * 16)[1].verify_frame(frame) is None
