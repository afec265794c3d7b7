"""Make the ejection list of a service and apply a copy of it."""

from ...records import (
    ActiveEjection,
    ActiveTrial,
    EjectedServer,
    EjectionList,
    EjectionListCopy,
    EvidencePool,
    HealthPolicy,
    ServerEjected,
    ServerId,
    ServerOnTrial,
    ServerState,
    ServiceName,
    TrialServer,
)
from .ejection import EJECTION_LIST_LIFETIME_S

__all__ = ["make_ejection_list", "receive_ejection_list", "effective_states"]


def make_ejection_list(
    pool: EvidencePool, service: ServiceName, policy: HealthPolicy, now_s: float
) -> EjectionList:
    """Return the list to send; no copy outlives the lease of its sender."""
    ejected: list[EjectedServer] = []
    on_trial: list[TrialServer] = []
    for server, entry in pool.entries.items():
        match entry:
            case ActiveEjection(reason=reason):
                ejected.append(EjectedServer(server=server, reason=reason))
            case ActiveTrial(reason=reason, stage=stage):
                share = policy.trial_shares[stage]
                on_trial.append(TrialServer(server=server, share=share, reason=reason))
    return EjectionList(
        service=service,
        valid_s=min(EJECTION_LIST_LIFETIME_S, pool.tenure.lease_until_s - now_s),
        slow_bucket=pool.slow_bucket,
        ejected=tuple(ejected),
        on_trial=tuple(on_trial),
    )


def receive_ejection_list(
    message: EjectionList, *, sent_at_s: float
) -> EjectionListCopy:
    """Return the copy of a list that answers a report sent at a local time."""
    return EjectionListCopy(
        until_s=sent_at_s + min(message.valid_s, EJECTION_LIST_LIFETIME_S),
        slow_bucket=message.slow_bucket,
        ejected=message.ejected,
        on_trial=message.on_trial,
    )


def effective_states(
    held: EjectionListCopy, now_s: float
) -> dict[ServerId, ServerState]:
    """Return the states that a copy gives to servers while it is fresh."""
    if now_s >= held.until_s:
        return {}
    ejected: dict[ServerId, ServerState] = {
        entry.server: ServerEjected(reason=entry.reason, until_s=held.until_s)
        for entry in held.ejected
    }
    trials = {entry.server: ServerOnTrial(share=entry.share) for entry in held.on_trial}
    return ejected | trials
