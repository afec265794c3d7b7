"""Fetch the segments of the newest rules text and serve them to other hosts."""

from random import Random

from attrs import define, evolve, field
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import (
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    ROSTER,
    STORED_SEGMENTS,
)
from ..decisions.membership import choose_neighbours, draw_backoff_s
from ..decisions.rules import RootRecord, Segment, list_missing_segments, verify_segment
from ..frontends.fleet_objects import FleetObjectStore, decode_root, make_segment_name
from ..frontends.peers import PeerClient
from ..records import (
    Address,
    FetchSegment,
    Host,
    ObjectRead,
    ObservedObject,
    SegmentAbsent,
    SegmentFound,
    StoredSegments,
)
from .metrics_recorder import MetricsRecorder
from .observations import read_newest_configuration

__all__ = ["SegmentFetcher"]

FETCH_TIMEOUT_S = 2.0
MAX_RETRY_BACKOFF_S = 2.0
# After so many failed rounds, the platform is asked before other hosts.
MAX_PEER_ROUNDS = 3


@define(kw_only=True, eq=False)
class SegmentFetcher:
    """Write the stored segments, each verified by its digest."""

    board: Board
    rng: Random
    platform: FleetObjectStore
    client: PeerClient
    metrics: MetricsRecorder
    own_host: Host
    fanout: int
    seeds: tuple[Address, ...] = ()
    name: str = "segment_keeper"
    watches = (PLATFORM_CONFIGURATION, PEER_VIEW)
    _fetched_version: int = field(default=0, init=False)
    _failures: int = field(default=0, init=False)

    def step(self) -> float | None:
        """Fetch the missing segments of the newest root.

        Return seconds until the next try, None to wait for a newer root.
        """
        from_platform = self.board.read(PLATFORM_CONFIGURATION)
        observed = read_newest_configuration(self.board)
        if observed is None or observed.version <= self._fetched_version:
            return None
        root = decode_root(observed.content, version=observed.version)
        if root is None:
            self._fetched_version = observed.version
            return None
        if self._fetch_missing(
            root, is_watcher=_has_version(from_platform, observed.version)
        ):
            self._remove_unused_segments(root)
            return None
        self._failures += 1
        return draw_backoff_s(self._failures, max_s=MAX_RETRY_BACKOFF_S, rng=self.rng)

    def answer(self, fetch: FetchSegment) -> SegmentFound | SegmentAbsent:
        """Answer another host that requests a segment."""
        content = self.board.read(STORED_SEGMENTS).by_digest.get(fetch.digest)
        if content is None:
            return SegmentAbsent(digest=fetch.digest)
        return SegmentFound(digest=fetch.digest, content=content)

    def _fetch_missing(self, root: RootRecord, *, is_watcher: bool) -> bool:
        stored = self.board.read(STORED_SEGMENTS).by_digest
        for digest in list_missing_segments(root, stored):
            content = self._fetch(digest, is_watcher=is_watcher)
            if content is None:
                return False
            self._store_segment(digest, content)
        return True

    def _store_segment(self, digest: str, content: bytes) -> None:
        def add(segments: StoredSegments) -> StoredSegments:
            return evolve(segments, by_digest=segments.by_digest.set(digest, content))

        self.board.update(STORED_SEGMENTS, add, writer=self.name)

    def _remove_unused_segments(self, root: RootRecord) -> None:
        """Remove the segments that the root does not name."""
        self._fetched_version = root.version
        self._failures = 0

        def remove_unused(segments: StoredSegments) -> StoredSegments:
            named = {digest: segments.by_digest[digest] for digest in root.digests}
            return StoredSegments(by_digest=Map(named))

        self.board.update(STORED_SEGMENTS, remove_unused, writer=self.name)

    def _fetch(self, digest: str, *, is_watcher: bool) -> bytes | None:
        if is_watcher or self._failures >= MAX_PEER_ROUNDS:
            return self._fetch_from_platform(digest) or self._fetch_from_peers(digest)
        return self._fetch_from_peers(digest)

    def _fetch_from_platform(self, digest: str) -> bytes | None:
        self.metrics.count("platform_calls", "read")
        match self.platform.read(make_segment_name(digest)):
            case ObjectRead(content=content):
                return self._verify(digest, content)
            case _:
                return None

    def _fetch_from_peers(self, digest: str) -> bytes | None:
        fetch = FetchSegment(digest=digest)
        for address in self._list_peers():
            match self.client.call(address, fetch, timeout_s=FETCH_TIMEOUT_S):
                case SegmentFound(content=content):
                    verified = self._verify(digest, content)
                    if verified is not None:
                        return verified
                case _:
                    continue
        return None

    def _list_peers(self) -> list[Address]:
        neighbours = choose_neighbours(
            self.board.read(ROSTER), self.own_host, self.fanout
        )
        peers = [host.peers for host in neighbours]
        return peers or [seed for seed in self.seeds if seed != self.own_host.peers]

    def _verify(self, digest: str, content: bytes) -> bytes | None:
        if verify_segment(Segment(digest=digest, content=content)):
            return content
        self.metrics.count("malformed", "segment")
        return None


def _has_version(observed: ObservedObject | None, version: int) -> bool:
    return observed is not None and observed.version >= version
