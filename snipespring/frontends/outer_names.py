"""Map records and fields to their names outside the process."""

from typing import Any

__all__ = ["FIELD_NAMES", "KIND_NAMES", "outer_field_name", "outer_kind_name"]

# Names of classes and attributes in messages, stored objects, events and the state
# dump where they differ from the code: peers and readers of older builds rely on them.
KIND_NAMES: dict[str, str] = {
    "ActiveEjection": "EjectionHeld",
    "ActiveTrial": "TrialHeld",
    "BufferedBodies": "HeldBodies",
    "ClaimRecord": "RememberedClaim",
    "ClaimTable": "ClaimMemory",
    "DrainReport": "DrainSign",
    "EjectionListCopies": "HeldLists",
    "EjectionListCopy": "HeldList",
    "EvidencePool": "Pool",
    "EvidencePools": "PoolBoard",
    "GatewayHostSettings": "HostSettings",
    "HostContacts": "HeardHosts",
    "ObservedObject": "Sighting",
    "ObservedRoster": "RosterSeen",
    "OutcomeUnknown": "Lost",
    "PastEjection": "Returned",
    "QueuedRequest": "Waiter",
    "ReceivedReport": "HeardReport",
    "ReceivedSummary": "HeardSummary",
    "RosterTransition": "RosterStep",
    "StoredSegments": "HeldSegments",
}
FIELD_NAMES: dict[str, dict[str, str]] = {
    "ClaimTable": {"expiry_buckets": "due"},
    "CreditNeeds": {"revision": "change"},
    "DomainReports": {"superseded": "ended"},
    "DrainReport": {"reported_at_s": "at_s"},
    "EvidencePool": {"evaluated_s": "judged_s", "past_ejections": "returned"},
    "HostContacts": {"first_listed_s": "listed_at_s", "last_contact_s": "direct_at_s"},
    "OrganisationTimes": {"received_s": "asked_s"},
    "OrganisationUsage": {"received": "asked"},
    "PastEjection": {"ended_s": "at_s"},
    "Placement": {"local_queue_margin": "near_queue", "local_risk_margin": "near_risk"},
    "PooledServer": {"baseline_failure_ratio": "base_share"},
    "QueuedRequest": {"slot_request": "wanted"},
    "ReceivedReport": {"received_s": "at_s"},
    "ReceivedSummary": {"received_s": "at_s"},
    "RequestQueue": {"queued": "waiters", "virtual_time": "virtual"},
    "RosterTenure": {"observed": "steps", "candidates": "contenders"},
    "RosterTransition": {"previous_holders": "owed"},
    "ServerLoad": {"others_busy": "others"},
    "ServiceLoad": {"mean_service_s": "service_s"},
    "ShareLedger": {"transitions": "steps"},
}


def outer_kind_name(kind: type[Any]) -> str:
    """Return the name of a record class outside the process."""
    return KIND_NAMES.get(kind.__name__, kind.__name__)


def outer_field_name(kind: type[Any], attribute: str) -> str:
    """Return the name of a record's field outside the process."""
    return FIELD_NAMES.get(kind.__name__, {}).get(attribute, attribute)
