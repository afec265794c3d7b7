"""Keep the subset of backend servers that this host uses."""

from typing import Any

from attrs import define
from immutables import Map

from ..blackboard import Board, Region
from ..blackboard.regions import CONFIGURATION, ROSTER, SERVER_SUBSETS
from ..decisions.routing import choose_subset, order_hosts
from ..frontends.backends import Transport
from ..records import Host, ServerSubsets
from ..utils import Clock

__all__ = ["SubsetSelector"]


@define(kw_only=True, eq=False)
class SubsetSelector:
    """Write the server subsets region."""

    board: Board
    clock: Clock
    transport: Transport
    own_host: Host
    name: str = "subset_keeper"

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the regions whose writes wake the controller."""
        return (CONFIGURATION, ROSTER)

    def step(self) -> float | None:
        """Choose the subset of each service again."""
        cfg = self.board.read(CONFIGURATION)
        hosts = order_hosts(self.board.read(ROSTER))
        held = self.board.read(SERVER_SUBSETS).by_service
        now_s = self.clock.monotonic_s()
        subsets = {
            name: choose_subset(
                service,
                cfg.servers.get(name, ()),
                hosts,
                self.own_host,
                previous=held.get(name),
                now_s=now_s,
            )
            for name, service in cfg.services.items()
        }
        new = ServerSubsets(by_service=Map(subsets))
        self.board.write(SERVER_SUBSETS, new, writer=self.name)
        self.transport.keep_only(
            frozenset(
                member.rule.server.address
                for subset in subsets.values()
                for member in subset.members
            )
        )
        return None
