"""Merge observations of platform objects, direct ones and those of other hosts."""

from ...records import AgedSighting, ObservedObject

__all__ = ["make_aged_observation", "merge_observations", "receive_observation"]


def merge_observations(
    first: ObservedObject | None, second: ObservedObject | None
) -> ObservedObject | None:
    """Return the newer version with the later time.

    Versions only rise, so the newer version was current after both times.
    """
    if first is None or second is None:
        return first or second
    newest = max(first, second, key=lambda observed: observed.version)
    as_of_s = max(first.as_of_s, second.as_of_s)
    return ObservedObject(
        version=newest.version, content=newest.content, as_of_s=as_of_s
    )


def make_aged_observation(
    observation: ObservedObject | None, *, peer_version: int, now_s: float
) -> AgedSighting | None:
    """Return an observation to send to a peer, with content if newer than its own."""
    if observation is None:
        return None
    return AgedSighting(
        version=observation.version,
        age_s=now_s - observation.as_of_s,
        content=observation.content if observation.version > peer_version else None,
    )


def receive_observation(
    aged: AgedSighting | None, known: ObservedObject | None, *, sent_at_s: float
) -> ObservedObject | None:
    """Return a peer's observation by the local clock, or None if it is unusable.

    It is unusable if its age is negative or the content of its version is missing.
    `sent_at_s` is when the pull was sent, so that the age is never understated.
    """
    if aged is None or aged.age_s < 0:
        return None
    as_of_s = sent_at_s - aged.age_s
    if aged.content is not None:
        return ObservedObject(
            version=aged.version, content=aged.content, as_of_s=as_of_s
        )
    if known is not None and known.version == aged.version:
        return ObservedObject(
            version=known.version, content=known.content, as_of_s=as_of_s
        )
    return None
