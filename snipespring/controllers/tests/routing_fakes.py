"""Build a blackboard with the servers of one service, and a scripted transport."""

from attrs import define, evolve, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import SERVER_SUBSETS
from snipespring.records import (
    Address,
    AdmittedRequest,
    Answered,
    BackendRequest,
    BackendResult,
    DomainName,
    KeyAccess,
    OrganisationName,
    Placement,
    Request,
    RouteRule,
    RunPolicy,
    ServerId,
    ServerRule,
    ServerSubset,
    ServerSubsets,
    ServiceName,
    ServiceRule,
    SlotRequest,
    SubsetMember,
)

SERVICE = ServiceRule(name=ServiceName("ledger"), asked_by="a test")
LOCAL_DOMAIN = DomainName("near")
OK = Answered(status=200, headers=(), body=b"whole")


def make_server_id(number: int) -> ServerId:
    address = Address(ip="127.0.0.2", port=number + 1)
    return ServerId(service=SERVICE.name, address=address)


def make_board(count: int, cap: int = 1) -> Board:
    members = tuple(
        SubsetMember(
            rule=ServerRule(
                server=make_server_id(number), domain=LOCAL_DOMAIN, asked_by="a test"
            )
        )
        for number in range(count)
    )
    subset = ServerSubset(
        service=SERVICE.name, members=members, slots=3, in_flight_cap=cap
    )
    board = Board()
    subsets = ServerSubsets(by_service=Map({SERVICE.name: subset}))
    board.write(SERVER_SUBSETS, subsets, writer="subset_keeper")
    return board


def add_service(board: Board, service: ServiceName) -> None:
    """Give a further service a subset with the addresses of the first."""
    by_service = board.read(SERVER_SUBSETS).by_service
    subset = by_service[SERVICE.name]
    members = tuple(
        evolve(
            member,
            rule=evolve(
                member.rule, server=evolve(member.rule.server, service=service)
            ),
        )
        for member in subset.members
    )
    added = evolve(subset, service=service, members=members)
    subsets = ServerSubsets(by_service=by_service.set(service, added))
    board.write(SERVER_SUBSETS, subsets, writer="subset_keeper")


def make_slot_request(
    deadline_at_s: float,
    organisation: str = "valeters",
    service: ServiceName = SERVICE.name,
) -> SlotRequest:
    return SlotRequest(
        service=service,
        organisation=OrganisationName(organisation),
        placement=Placement(domain=LOCAL_DOMAIN, repeatable=True),
        deadline_at_s=deadline_at_s,
    )


def make_admitted_request(run: RunPolicy, deadline_at_s: float) -> AdmittedRequest:
    route = RouteRule(
        methods=("POST",),
        prefix="/",
        service=SERVICE.name,
        access=KeyAccess(),
        run=run,
        asked_by="a test",
    )
    return AdmittedRequest(
        request=Request(request_id="r", method="POST", path="/", body=b"body"),
        route=route,
        organisation=OrganisationName("valeters"),
        deadline_at_s=deadline_at_s,
    )


@define(kw_only=True, eq=False)
class ScriptedTransport:
    """Answer attempts from a list of results, then with OK; record what was sent."""

    results: list[BackendResult] = field(factory=list)
    sent: list[tuple[ServerId, BackendRequest]] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    kept_addresses: frozenset[Address] = frozenset()

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        self.sent.append((server, attempt))
        return self.results.pop(0) if self.results else OK

    def cancel(self, attempt_id: str) -> None:
        self.cancelled.append(attempt_id)

    def keep_only(self, addresses: frozenset[Address]) -> None:
        self.kept_addresses = addresses
