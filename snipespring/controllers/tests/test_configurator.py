from random import Random

from attrs import define, field
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    REFUSED_CONFIGURATION,
    STORED_SEGMENTS,
)
from snipespring.controllers import (
    Configurator,
    EventRecorder,
    MetricsRecorder,
    RulesEditor,
    SegmentFetcher,
)
from snipespring.decisions.membership.tests.fleet_model import make_host
from snipespring.frontends.fleet_objects import CONFIGURATION_OBJECT
from snipespring.records import (
    Address,
    FetchSegment,
    Message,
    ObjectRead,
    ObservedObject,
    PeerFailed,
    PeerResult,
    PeerView,
    SegmentFound,
)
from snipespring.utils import ManualClock

from .fake_platform import FakePlatform

PEER = make_host(1).peers


@define(kw_only=True, eq=False)
class FakePeers:
    """Answer for one other host; corrupt its segments if `damages_replies`."""

    other: "HostParts | None" = None
    damages_replies: bool = False

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        if self.other is None or not isinstance(message, FetchSegment):
            return PeerFailed(reason="unreachable")
        reply = self.other.fetcher.answer(message)
        if self.damages_replies and isinstance(reply, SegmentFound):
            return SegmentFound(digest=reply.digest, content=reply.content + b"x")
        return reply


@define(kw_only=True, eq=False)
class HostParts:
    """Group the controllers that activate a configuration on one host."""

    platform: FakePlatform
    peers: FakePeers = field(factory=FakePeers)
    board: Board = field(factory=Board)
    fetcher: SegmentFetcher = field(init=False)
    configurator: Configurator = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.fetcher = SegmentFetcher(
            board=self.board,
            rng=Random(1),
            platform=self.platform,
            client=self.peers,
            metrics=MetricsRecorder(board=self.board),
            own_host=make_host(0),
            fanout=4,
            seeds=(PEER,),
        )
        self.configurator = Configurator(
            board=self.board,
            clock=ManualClock(),
            event_recorder=EventRecorder(board=self.board),
        )

    @property
    def version(self) -> int:
        return self.board.read(CONFIGURATION).version

    def observe_platform(self) -> None:
        stored = self.platform.read(CONFIGURATION_OBJECT)
        if isinstance(stored, ObjectRead):
            observed = make_observation(stored)
            self.board.write(
                PLATFORM_CONFIGURATION, observed, writer="configuration_watcher"
            )

    def observe_peer(self, stored: ObjectRead) -> None:
        view = PeerView(configuration=make_observation(stored))
        self.board.write(PEER_VIEW, view, writer="puller")

    def step(self) -> None:
        self.fetcher.step()
        self.configurator.step()


def make_observation(stored: ObjectRead) -> ObservedObject:
    return ObservedObject(version=stored.version, content=stored.content, as_of_s=0.0)


def rules_text(number: int) -> bytes:
    return b"service s%d # Nora\n" % number


def apply(platform: FakePlatform, content: bytes) -> None:
    RulesEditor(platform=platform).apply(content, expected=None)


def stored_root(platform: FakePlatform) -> ObjectRead:
    return platform.objects[CONFIGURATION_OBJECT]


def test_valid_rules_stay_active_when_later_ones_are_invalid() -> None:
    platform = FakePlatform()
    host = HostParts(platform=platform)
    apply(platform, rules_text(1))
    invalid_texts = [
        b"nonsense\n",
        b"route GET /x service=unknown # Nora\n",
        b"service a # Nora\nservice a # Nora\n",
    ]
    for content in invalid_texts:
        host.observe_platform()
        host.step()
        last_valid = host.version
        apply(platform, content)
        host.observe_platform()
        host.step()
        assert host.version == last_valid
        refused = host.board.read(REFUSED_CONFIGURATION)
        assert refused.version == stored_root(platform).version
        assert refused.reason
        apply(platform, rules_text(2))
    host.observe_platform()
    host.step()
    assert host.version == stored_root(platform).version


def test_damaged_root_is_refused() -> None:
    platform = FakePlatform()
    host = HostParts(platform=platform)
    apply(platform, rules_text(1))
    host.observe_platform()
    host.step()
    host.observe_peer(ObjectRead(name="", version=9, content=b"\xff\x00"))
    host.step()
    assert host.version == 1
    assert host.board.read(REFUSED_CONFIGURATION).version == 9


def test_new_host_gets_rules_from_a_peer_while_the_platform_is_unavailable() -> None:
    platform = FakePlatform()
    old = HostParts(platform=platform)
    apply(platform, rules_text(1))
    old.observe_platform()
    old.step()
    root = stored_root(platform)
    unavailable = FakePlatform(is_unavailable=True)
    new = HostParts(platform=unavailable, peers=FakePeers(other=old))
    new.observe_peer(root)
    new.step()
    assert new.version == 1


def test_damaged_segment_from_a_peer_is_not_stored() -> None:
    platform = FakePlatform()
    old = HostParts(platform=platform)
    apply(platform, rules_text(1))
    old.observe_platform()
    old.step()
    new = HostParts(
        platform=FakePlatform(is_unavailable=True),
        peers=FakePeers(other=old, damages_replies=True),
    )
    new.observe_peer(stored_root(platform))
    new.step()
    assert new.version == 0
    assert not new.board.read(STORED_SEGMENTS).by_digest


def test_damaged_segment_of_the_platform_is_not_activated() -> None:
    platform = FakePlatform()
    apply(platform, rules_text(1))
    (name,) = (name for name in platform.objects if name != CONFIGURATION_OBJECT)
    platform.objects[name] = ObjectRead(name=name, version=2, content=rules_text(2))
    host = HostParts(platform=platform)
    host.observe_platform()
    host.step()
    assert host.version == 0


def test_only_changed_segments_are_read() -> None:
    platform = FakePlatform()
    lines = [b"service s%05d asked # Nora\n" % number for number in range(40000)]
    host = HostParts(platform=platform)
    apply(platform, b"".join(lines))
    host.observe_platform()
    host.step()
    apply(platform, b"".join([*lines, b"service last # Nora\n"]))
    platform.reads.clear()
    host.observe_platform()
    host.step()
    assert sum(name != CONFIGURATION_OBJECT for name in platform.reads) == 1


class ConfigurationMachine(RuleBasedStateMachine):
    """Observe versions in the platform and older copies at a peer, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = FakePlatform()
        self.old = HostParts(platform=self.platform)
        self.host = HostParts(platform=self.platform, peers=FakePeers(other=self.old))
        self.roots: list[ObjectRead] = []
        self.numbers: dict[int, int] = {}
        self.highest_version = 0

    @rule(number=st.integers(1, 2))
    def accept(self, number: int) -> None:
        apply(self.platform, rules_text(number))
        root = stored_root(self.platform)
        self.roots.append(root)
        self.numbers[root.version] = number

    @rule()
    def refresh_peer(self) -> None:
        self.old.observe_platform()
        self.old.step()

    @rule(damaged=st.booleans())
    def damage_peer(self, damaged: bool) -> None:
        self.host.peers.damages_replies = damaged

    @rule()
    def update_from_platform(self) -> None:
        self.host.observe_platform()
        self.host.step()

    @rule(place=st.integers(0, 9))
    def observe_peer(self, place: int) -> None:
        if self.roots:
            self.host.observe_peer(self.roots[place % len(self.roots)])
            self.host.step()

    @invariant()
    def never_reverts_and_matches_its_version(self) -> None:
        cfg = self.host.board.read(CONFIGURATION)
        assert cfg.version >= self.highest_version
        self.highest_version = cfg.version
        if cfg.version:
            assert list(cfg.services) == [f"s{self.numbers[cfg.version]}"]


TestConfigurationMachine = ConfigurationMachine.TestCase
