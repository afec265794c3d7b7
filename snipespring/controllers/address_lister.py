"""Answer callers that query which hosts to use."""

from collections.abc import Callable

from attrs import define, evolve

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, HOST_STATUSES, ROSTER, STOP_STATE
from ..decisions.addresses import AddressQuery, list_addresses, list_available_hosts
from ..decisions.keys import digest_key, find_key
from ..decisions.limits import slot_holders
from ..records import (
    AddressAnswer,
    Configuration,
    Host,
    HostId,
    Leaving,
    OrganisationName,
    Request,
    Serving,
)
from ..utils import Clock

__all__ = ["AddressLister"]


@define(kw_only=True, eq=False)
class AddressLister:
    """Choose the hosts that a caller is told to use; write no region.

    An answer is valid for `lifetime_s` seconds. `issue_prefix` returns the prefix for
    the idempotency keys of an organisation's callers, None if there is none to give.
    """

    board: Board
    clock: Clock
    own_host: Host
    lifetime_s: float
    issue_prefix: Callable[[OrganisationName | None], str | None]

    def answer(self, request: Request) -> AddressAnswer:
        """Return the hosts that the caller should use."""
        cfg = self.board.read(CONFIGURATION)
        key = find_key(request)
        organisation = cfg.keys.get(digest_key(key)) if key is not None else None
        query = AddressQuery(
            organisation=organisation,
            rate_per_s=_get_rate_per_s(cfg, organisation),
            local_domain=self.own_host.domain,
            caller=request.request_id,
            holders=self._find_slot_holders(organisation),
        )
        answer = list_addresses(
            self._list_available(), query, lifetime_s=self.lifetime_s
        )
        return evolve(answer, idempotency_prefix=self.issue_prefix(organisation))

    def _find_slot_holders(
        self, organisation: OrganisationName | None
    ) -> frozenset[HostId]:
        if organisation is None:
            return frozenset()
        holders = slot_holders(self.board.read(ROSTER), organisation)
        return frozenset(host.host_id for host in holders)

    def _list_available(self) -> tuple[Host, ...]:
        hosts = list_available_hosts(
            self.board.read(ROSTER),
            self.board.read(HOST_STATUSES),
            now_s=self.clock.monotonic_s(),
        )
        match self.board.read(STOP_STATE):
            case Serving():
                return hosts
            case Leaving():
                return tuple(host for host in hosts if host != self.own_host)


def _get_rate_per_s(cfg: Configuration, organisation: OrganisationName | None) -> float:
    rule = cfg.organisations.get(organisation) if organisation is not None else None
    return rule.rate_per_s if rule is not None else 0.0
