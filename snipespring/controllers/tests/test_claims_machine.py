from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from snipespring.decisions.claims import CLAIM_WINDOW_S
from snipespring.decisions.claims.constants import TAKEOVER_WAIT_S
from snipespring.records import (
    ClaimGranted,
    ClaimRefused,
    ClaimRepeated,
    ClaimResult,
    NotRun,
    Outcome,
    Ran,
    Reply,
    Unclaimed,
    Unknown,
)
from snipespring.utils import ManualClock

from .claims_fleet import (
    LEASE_S,
    BackendRun,
    Delayed,
    Delivered,
    Duplicated,
    FakeHost,
    Network,
    NetworkEffect,
    ReplyLost,
    RequestLost,
    SkewedClock,
    UnusedGrant,
    make_host,
    make_roster,
)

HOST_COUNT = 3
INDEXES = st.integers(0, HOST_COUNT - 1)
KEYS = st.integers(0, 3)
BODIES = st.sampled_from([b"one"] * 7 + [b"two"])
EFFECTS: st.SearchStrategy[list[NetworkEffect]] = st.lists(
    st.sampled_from([Delivered(), RequestLost(), ReplyLost(), Delayed(), Duplicated()]),
    max_size=2,
)
PAUSES_S = st.sampled_from([0.1, 1.0, 4.5, 4.5, 120.0, 800.0])
ENDS = st.sampled_from(["ran", "ran", "ran", "shed", "late", "lost", "killed"])
ATTEMPTS = st.lists(st.tuples(INDEXES, BODIES, EFFECTS, ENDS), min_size=1, max_size=4)
Attempts = list[tuple[int, bytes, list[NetworkEffect], str]]
FAULTS = st.sampled_from(["list", "adopt", "restart", "stop", "freeze", "cut", "issue"])


class ClaimsMachine(RuleBasedStateMachine):
    """Let callers repeat keys through hosts with every kind of fault."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.network = Network()
        self.incarnations = 0
        self.requests = 0
        self.issued = 0
        self.fenced_version = 0
        self.unused_grants: list[UnusedGrant] = []
        self.runs: dict[str, list[BackendRun]] = {}
        self.hosts = [self.start(index) for index in range(HOST_COUNT)]
        self.listed: set[int] = set()
        self.roster = make_roster(0, [])
        for index in range(HOST_COUNT):
            self.list_or_unlist(index)
            self.sync_roster()
        self.let_time_pass(TAKEOVER_WAIT_S, True)
        self.keys = ["plain-a", "plain-b", "plain-c", "plain-d"]
        self.issue_key(0)
        self.issue_key(1)

    def start(self, index: int) -> FakeHost:
        self.incarnations += 1
        offset_s = 1e6 - 977.0 * self.incarnations
        return FakeHost(
            host=make_host(index, self.incarnations),
            clock=SkewedClock(base=self.clock, offset_s=offset_s),
            network=self.network,
        )

    def is_running(self, index: int) -> bool:
        return self.hosts[index].host.peers not in self.network.frozen_addresses

    def change_roster(self) -> None:
        hosts = [self.hosts[index].host for index in sorted(self.listed)]
        self.roster = make_roster(self.roster.version + 1, hosts)

    def list_or_unlist(self, index: int) -> None:
        listed_host = self.roster.hosts.get(self.hosts[index].host.host_id)
        if listed_host == self.hosts[index].host:
            self.listed.discard(index)
        else:
            self.listed.add(index)
        self.change_roster()

    def adopt_roster(self, index: int) -> None:
        if (
            self.is_running(index)
            and self.hosts[index].roster_version < self.roster.version
        ):
            self.hosts[index].adopt_roster(self.roster)

    @rule()
    def sync_roster(self) -> None:
        for index in range(HOST_COUNT):
            self.adopt_roster(index)
        for index in range(HOST_COUNT):
            self.renew_lease(index)
        self.raise_fence()

    def renew_lease(self, index: int) -> None:
        """Renew the lease unless the host's roster version is fenced.

        Callers skip the renewal to simulate an unavailable platform.
        """
        if (
            self.is_running(index)
            and self.hosts[index].roster_version >= self.fenced_version
        ):
            self.hosts[index].renew_lease()

    def raise_fence(self) -> None:
        """Fence the newest version such that all leases of older ones have ended."""
        leased_versions = [
            host.roster_version
            for host in self.hosts
            if host.lease_until_s > host.clock.monotonic_s()
        ]
        versions = [host.roster_version for host in self.hosts]
        self.fenced_version = max(
            self.fenced_version, min(leased_versions, default=max(versions))
        )
        for index, host in enumerate(self.hosts):
            if self.is_running(index):
                host.fence(self.fenced_version)

    def restart(self, index: int) -> None:
        old = self.hosts[index]
        self.unused_grants = [
            grant for grant in self.unused_grants if grant.host is not old
        ]
        self.network.frozen_addresses.discard(old.host.peers)
        self.listed.discard(index)
        self.change_roster()
        self.hosts[index] = self.start(index)
        self.list_or_unlist(index)
        self.sync_roster()

    def freeze_or_thaw(self, index: int) -> None:
        self.network.frozen_addresses ^= {self.hosts[index].host.peers}

    def cut_or_heal_one_way(self, index: int, other: int) -> None:
        path = (self.hosts[index].host.host_id, self.hosts[other].host.peers)
        self.network.cut_links ^= {path}

    @rule(pause_s=PAUSES_S, renew=st.booleans())
    def let_time_pass(self, pause_s: float, renew: bool) -> None:
        self.clock.advance(pause_s)
        for index, host in enumerate(self.hosts):
            if self.is_running(index):
                host.owner.step()
                host.tenure.step()
                if renew:
                    self.renew_lease(index)

    def issue_key(self, index: int) -> None:
        self.issued += 1
        key = self.hosts[index].issue_key(f"text-{self.issued}")
        if key is not None:
            self.keys[2 + self.issued % 2] = key

    @rule(fault=FAULTS, index=INDEXES, other=INDEXES)
    def disturb(self, fault: str, index: int, other: int) -> None:
        match fault:
            case "list":
                self.list_or_unlist(index)
            case "adopt":
                self.adopt_roster(index)
                self.raise_fence()
            case "restart":
                self.restart(index)
            case "stop":
                if self.is_running(index):
                    self.hosts[index].hand_over()
                    self.restart(index)
            case "freeze":
                self.freeze_or_thaw(index)
            case "cut":
                self.cut_or_heal_one_way(index, other)
            case "issue":
                self.issue_key(index)

    @rule(
        index=INDEXES,
        changed=INDEXES,
        is_reverted=st.booleans(),
        key=KEYS,
        attempts=ATTEMPTS,
    )
    def outlast_freeze(
        self, index: int, changed: int, is_reverted: bool, key: int, attempts: Attempts
    ) -> None:
        """Freeze a host while the others change the roster, take over and run."""
        self.network.frozen_addresses.add(self.hosts[index].host.peers)
        self.list_or_unlist(changed)
        self.sync_roster()
        self.let_time_pass(LEASE_S, True)
        self.raise_fence()
        self.let_time_pass(TAKEOVER_WAIT_S + LEASE_S, True)
        self.repeat_key(key, attempts)
        self.network.frozen_addresses.discard(self.hosts[index].host.peers)
        if is_reverted:
            self.list_or_unlist(changed)
            self.sync_roster()
        self.repeat_key(key, [(index, b"one", [], "ran")])

    @rule(index=INDEXES, key=KEYS, attempts=ATTEMPTS)
    def pause_before_send(self, index: int, key: int, attempts: Attempts) -> None:
        """Pause a host between its grant and the send."""
        grants_before = len(self.unused_grants)
        self.ask(index, key, b"one", [])
        self.let_time_pass(TAKEOVER_WAIT_S, True)
        self.repeat_key(key, attempts)
        if len(self.unused_grants) > grants_before:
            self.send(grants_before, "ran", [])

    @rule()
    def heal(self) -> None:
        self.network.frozen_addresses.clear()
        self.network.cut_links.clear()
        self.sync_roster()

    @rule(key=KEYS, attempts=ATTEMPTS)
    def repeat_key(self, key: int, attempts: Attempts) -> None:
        for index, body, effects, end in attempts:
            grants_before = len(self.unused_grants)
            self.ask(index, key, body, effects)
            if len(self.unused_grants) > grants_before:
                self.send(grants_before, end, effects[1:])
            self.deliver(index, effects[1:], 0)

    @rule(index=INDEXES, key=KEYS, body=BODIES, effects=EFFECTS)
    def ask(
        self, index: int, key: int, body: bytes, effects: list[NetworkEffect]
    ) -> None:
        if not self.is_running(index):
            return
        self.requests += 1
        host, text = self.hosts[index], self.keys[key]
        self.network.effects = list(effects)
        admitted = host.make_admitted_request(f"request-{self.requests}", text, body)
        result = host.claimant.begin(admitted)
        self.check_result(result, text, body)
        if isinstance(result, ClaimGranted):
            grant = UnusedGrant(host=host, claim=result, key=text, body=body)
            self.unused_grants.append(grant)

    @precondition(lambda self: self.unused_grants)
    @rule(pick=st.integers(0, 9), end=ENDS, effects=EFFECTS)
    def send(self, pick: int, end: str, effects: list[NetworkEffect]) -> None:
        grant = self.unused_grants[pick % len(self.unused_grants)]
        if grant.host.host.peers in self.network.frozen_addresses:
            return
        self.unused_grants.remove(grant)
        outcome: Outcome = NotRun(reason="the permission ended")
        if grant.host.claimant.may_send(grant.claim):
            outcome = self.run(grant, end)
        if end == "killed":
            return
        self.network.effects = list(effects)
        grant.host.claimant.finish(grant.claim, self.reply(grant, outcome))

    @rule(index=INDEXES, effects=EFFECTS, pick=st.integers(0, 9))
    def deliver(self, index: int, effects: list[NetworkEffect], pick: int) -> None:
        if self.network.late:
            self.network.deliver_delayed(pick)
        if self.is_running(index):
            self.network.effects = list(effects)
            self.hosts[index].deliver_reports()

    def run(self, grant: UnusedGrant, end: str) -> Outcome:
        if end == "shed":
            assert not self.recent_runs(grant.key)
            return NotRun(reason="the server shed it")
        if end == "lost":
            return Unknown(reason="no answer")
        reply = self.reply(grant, Ran())
        run = BackendRun(at_s=self.clock.now_s, body=grant.body, reply=reply)
        self.runs.setdefault(grant.key, []).append(run)
        return Ran() if end == "ran" else Unknown(reason="no answer")

    def reply(self, grant: UnusedGrant, outcome: Outcome) -> Reply:
        request_id = grant.claim.by.request_id
        content = f"reply to {request_id}".encode()
        return Reply(request_id=request_id, status=200, outcome=outcome, body=content)

    def recent_runs(self, key: str) -> list[BackendRun]:
        is_issued = key.startswith("sk1.")
        since_s = 0.0 if is_issued else self.clock.now_s - CLAIM_WINDOW_S
        return [run for run in self.runs.get(key, []) if run.at_s > since_s]

    def check_result(self, result: ClaimResult, key: str, body: bytes) -> None:
        match result:
            case ClaimRefused(status=422):
                assert body not in {run.body for run in self.recent_runs(key)}
            case ClaimRefused(outcome=NotRun()):
                assert not self.recent_runs(key)
            case ClaimRepeated(reply=reply):
                first = self.runs[key][-1]
                assert isinstance(reply.outcome, Ran)
                assert (reply.body, body) == (first.reply.body, first.body)
            case ClaimRefused() | ClaimGranted() | Unclaimed():
                pass

    @invariant()
    def no_key_runs_twice(self) -> None:
        for key, runs in self.runs.items():
            if key.startswith("sk1."):
                assert len(runs) <= 1, f"{key} ran {len(runs)} times"
            times_s = [run.at_s for run in runs]
            for first_s, second_s in zip(times_s, times_s[1:], strict=False):
                assert second_s - first_s >= CLAIM_WINDOW_S, f"{key} ran twice"


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=500, stateful_step_count=50)
