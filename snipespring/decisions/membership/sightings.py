"""Merge what the platform and other hosts say about an object."""

from ...records import AgedSighting, ObservedObject

__all__ = ["age_sighting", "merge_sightings", "receive_sighting"]


def merge_sightings(
    first: ObservedObject | None, second: ObservedObject | None
) -> ObservedObject | None:
    """Return the highest version with the latest time; versions only rise."""
    if first is None or second is None:
        return first or second
    newest = max(first, second, key=lambda seen: seen.version)
    as_of_s = max(first.as_of_s, second.as_of_s)
    return ObservedObject(
        version=newest.version, content=newest.content, as_of_s=as_of_s
    )


def age_sighting(
    seen: ObservedObject | None, *, held_version: int, now_s: float
) -> AgedSighting | None:
    """Return the sighting for a peer that holds a version, content if newer."""
    if seen is None:
        return None
    return AgedSighting(
        version=seen.version,
        age_s=now_s - seen.as_of_s,
        content=seen.content if seen.version > held_version else None,
    )


def receive_sighting(
    aged: AgedSighting | None, held: ObservedObject | None, *, sent_at_s: float
) -> ObservedObject | None:
    """Return a peer's sighting by the local clock, or None if unusable.

    `sent_at_s` is when the pull was sent, so the age is never understated.
    """
    if aged is None or aged.age_s < 0:
        return None
    as_of_s = sent_at_s - aged.age_s
    if aged.content is not None:
        return ObservedObject(
            version=aged.version, content=aged.content, as_of_s=as_of_s
        )
    if held is not None and held.version == aged.version:
        return ObservedObject(
            version=held.version, content=held.content, as_of_s=as_of_s
        )
    return None
