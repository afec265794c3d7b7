"""Tell callers in a failure domain which hosts to use."""

from random import Random

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import (
    FLEET_VIEW,
)
from ..decisions.domains import AddressListLimits, offer_addresses
from ..records import AddressAnswer, DomainName, PublishedHost
from ..utils import Clock
from .peers import read_known_hosts
from .readiness import is_ready

__all__ = ["DomainAddressLister"]


@define(kw_only=True, eq=False)
class DomainAddressLister:
    """Choose among the hosts that this host knows to serve; write no region."""

    board: Board
    clock: Clock
    rng: Random
    own_host: PublishedHost
    address_limits: AddressListLimits

    def answer(self, domain: DomainName) -> AddressAnswer:
        """Return the hosts that callers in a domain should use."""
        return offer_addresses(
            read_known_hosts(self.board, self.own_host),
            self.board.read(FLEET_VIEW),
            self.own_host.host_id,
            domain,
            self.address_limits,
            is_own_serving=is_ready(self.board, self.clock.monotonic_s()),
            rng=self.rng,
        )
