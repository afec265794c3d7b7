from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from snipespring.frontends.peers.authentication import FrameAuthenticator

SECRET = b"a secret of a test fleet"
NONCE = b"n" * 16
payloads = st.binary(max_size=20)


def make_authenticators(
    nonce: bytes = NONCE,
) -> tuple[FrameAuthenticator, FrameAuthenticator]:
    client = FrameAuthenticator(
        secret=SECRET, nonce=nonce, send_label=b"C", receive_label=b"S"
    )
    server = FrameAuthenticator(
        secret=SECRET, nonce=nonce, send_label=b"S", receive_label=b"C"
    )
    return client, server


@define(kw_only=True)
class Side:
    authenticator: FrameAuthenticator
    sent: list[tuple[bytes, bytes]] = field(factory=list)
    verified_count: int = 0


class FrameMachine(RuleBasedStateMachine):
    """Replay, reorder, reflect and forge frames between two sides."""

    def __init__(self) -> None:
        super().__init__()
        client, server = make_authenticators()
        self.sides = (Side(authenticator=client), Side(authenticator=server))

    @rule(index=st.integers(0, 1), payload=payloads)
    def send(self, index: int, payload: bytes) -> None:
        side = self.sides[index]
        side.sent.append((side.authenticator.sign_frame(payload), payload))

    @precondition(lambda self: any(side.sent for side in self.sides))
    @rule(
        source=st.integers(0, 1), receiver=st.integers(0, 1), position=st.integers(0, 9)
    )
    def deliver(self, source: int, receiver: int, position: int) -> None:
        sent = self.sides[source].sent
        if not sent:
            return
        index = position % len(sent)
        frame, payload = sent[index]
        side = self.sides[receiver]
        verified = side.authenticator.verify_frame(frame)
        if source != receiver and index == side.verified_count:
            assert verified == payload
            side.verified_count += 1
        else:
            assert verified is None

    @rule(index=st.integers(0, 1), frame=st.binary(max_size=60))
    def forge(self, index: int, frame: bytes) -> None:
        assert self.sides[index].authenticator.verify_frame(frame) is None


TestFrameMachine = FrameMachine.TestCase


@given(payloads, st.integers(0, 100), st.integers(1, 255))
def test_a_changed_or_truncated_frame_is_refused(
    payload: bytes, position: int, change: int
) -> None:
    client, server = make_authenticators()
    frame = client.sign_frame(payload)
    changed = bytearray(frame)
    changed[position % len(frame)] ^= change
    assert server.verify_frame(bytes(changed)) is None
    assert server.verify_frame(frame[: position % len(frame)]) is None
    assert server.verify_frame(frame) == payload


def test_a_frame_of_another_connection_is_refused() -> None:
    frame = make_authenticators(b"a" * 16)[0].sign_frame(b"x")
    assert make_authenticators(b"b" * 16)[1].verify_frame(frame) is None
