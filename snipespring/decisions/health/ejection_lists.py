"""Make the ejection list of a service and apply received copies of it."""

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

__all__ = ["effective_states", "make_ejection_list", "receive_ejection_list"]


def make_ejection_list(
    pool: EvidencePool, service: ServiceName, policy: HealthPolicy, now_s: float
) -> EjectionList:
    """Return the list to send; it is never valid beyond the sender's lease."""
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
    """Return the copy of a list that answers the report sent at `sent_at_s`.

    Validity counts from the local time of the request, so that a delayed reply does
    not extend it.
    """
    return EjectionListCopy(
        until_s=sent_at_s + min(message.valid_s, EJECTION_LIST_LIFETIME_S),
        slow_bucket=message.slow_bucket,
        ejected=message.ejected,
        on_trial=message.on_trial,
    )


def effective_states(
    list_copy: EjectionListCopy, now_s: float
) -> dict[ServerId, ServerState]:
    """Return the server states of a copy of the list, none once it has expired."""
    if now_s >= list_copy.until_s:
        return {}
    ejected: dict[ServerId, ServerState] = {
        entry.server: ServerEjected(reason=entry.reason, until_s=list_copy.until_s)
        for entry in list_copy.ejected
    }
    trials = {
        entry.server: ServerOnTrial(share=entry.share) for entry in list_copy.on_trial
    }
    return ejected | trials
