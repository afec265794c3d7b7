import threading

from snipespring.blackboard.regions import CONFIGURATION, ROSTER, SHARE_LEDGER
from snipespring.controllers import Limiter, MetricsRecorder, ShareBorrower
from snipespring.decisions.limits import slot_holders
from snipespring.records import (
    Address,
    Admitted,
    Configuration,
    CreditAsks,
    Message,
    OverLimit,
    PeerFailed,
    PeerResult,
)

from .fleet_model import VALETERS, FleetModel, ModelHost, make_rule

RULE = make_rule(10.0, 40.0)


class ModelClient:
    def __init__(self, models: list[ModelHost]) -> None:
        self.share_managers = {
            model.host.peers: model.share_manager for model in models
        }

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        match message:
            case CreditAsks():
                return self.share_managers[address].lend(message)
            case _:
                return PeerFailed(reason="not a request for credit")


def make_steady_models() -> list[ModelHost]:
    fleet = FleetModel(rule=RULE)
    for name in "abc":
        fleet.change_roster(add=fleet.start_host(name, 1.0))
        for model in fleet.hosts:
            fleet.receive_roster(model)
            model.share_manager.collect_releases()
    for _ in range(2):
        for model in fleet.hosts:
            fleet.receive_fence(model)
            fleet.renew_lease(model)
            model.share_manager.collect_releases()
        fleet.time.now_s += 100.0
    for model in fleet.hosts:
        fleet.receive_fence(model)
        fleet.renew_lease(model)
    return fleet.hosts


def make_limiter(model: ModelHost) -> Limiter:
    return Limiter(
        board=model.board,
        clock=model.clock,
        share_manager=model.share_manager,
        metrics=MetricsRecorder(board=model.board),
    )


def has_waiting_requests(model: ModelHost) -> bool:
    account = model.board.read(SHARE_LEDGER).accounts.get(VALETERS)
    return account is not None and account.waiting > 0


def test_request_without_credit_waits_for_a_loan() -> None:
    models = make_steady_models()
    model = models[0]
    limiter = make_limiter(model)
    local_credit = 10 * slot_holders(model.board.read(ROSTER), VALETERS).count(
        model.host
    )
    for _ in range(local_credit):
        assert isinstance(limiter.admit(VALETERS, deadline_at_s=1e9), Admitted)
    client = ModelClient(models)
    borrower = ShareBorrower(
        share_manager=model.share_manager,
        client=client,
        metrics=MetricsRecorder(board=model.board),
    )
    admissions: list[object] = []
    waiting = threading.Thread(
        target=lambda: admissions.append(limiter.admit(VALETERS, deadline_at_s=1e9))
    )
    arrivals_before = model.share_manager.count_arrivals()
    waiting.start()
    # This host holds no slots, so that the waiting request opens the account.
    while not has_waiting_requests(model):
        waiting.join(0.001)
    borrower.step()
    model.share_manager.wait_for_credit(arrivals_before, 5.0)
    waiting.join(5.0)
    assert admissions == [Admitted()]


def test_request_past_its_deadline_may_retry_after_one_request_interval() -> None:
    model = make_steady_models()[0]
    limiter = make_limiter(model)
    admitted = 0
    while isinstance(limiter.admit(VALETERS, deadline_at_s=0.0), Admitted):
        admitted += 1
    refused = limiter.admit(VALETERS, deadline_at_s=0.0)
    assert admitted <= 40
    assert isinstance(refused, OverLimit)
    assert refused.retry_after_s == 0.1
    assert model.board.read(SHARE_LEDGER).accounts[VALETERS].waiting == 0


def test_organisation_without_a_rule_is_refused() -> None:
    model = make_steady_models()[0]
    model.board.write(CONFIGURATION, Configuration(version=2), writer="configurator")
    refused = make_limiter(model).admit(VALETERS, deadline_at_s=1e9)
    assert isinstance(refused, OverLimit)
