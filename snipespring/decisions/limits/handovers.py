"""Hand shares of organisations' limits over between hosts when the roster changes.

A release is what this host must report to a host that gains shares from it.
"""

from collections.abc import Mapping

from attrs import evolve

from ...records import (
    Account,
    Fence,
    Host,
    HostId,
    Loan,
    LostShare,
    OrganisationName,
    OrganisationRule,
    Peer,
    Roster,
    RosterTransition,
    Share,
    ShareHandover,
    ShareHandovers,
    ShareLedger,
    ShareRelease,
    SlotLimit,
)
from .accounts import refill_account, sync_account
from .ledger import refresh_account
from .shares import lent_amount, slot_limit
from .tenure import (
    all_shares_in_use_since_s,
    follow_fence,
    follow_roster,
    has_only_grown,
    peer_of,
    record_stop,
)

__all__ = [
    "adopt_roster",
    "handover_message",
    "leave_roster",
    "receive_handovers",
    "refers_to_newer_roster",
]

MAX_NOTIFIED_HOSTS = 64

Rules = Mapping[OrganisationName, OrganisationRule]


def adopt_roster(
    ledger: ShareLedger,
    roster: Roster,
    fence: Fence,
    rules: Rules,
    own_peer: Peer,
    *,
    now_s: float,
) -> ShareLedger:
    """Return the ledger at a roster and fence, with releases for the lost shares.

    The fence is the roster version below which no host can still hold a lease.
    """
    previous_transitions = ledger.transitions
    transitions = follow_roster(previous_transitions, roster, own_peer, now_s=now_s)
    if transitions is not previous_transitions:
        ledger = _refill_accounts(ledger, rules, now_s)
        ledger = _apply_roster(
            evolve(ledger, transitions=transitions),
            previous_transitions,
            own_peer,
            now_s,
        )
    transitions = follow_fence(ledger.transitions, fence, now_s=now_s)
    return (
        ledger
        if transitions is ledger.transitions
        else evolve(ledger, transitions=transitions)
    )


def leave_roster(
    ledger: ShareLedger, rules: Rules, own_peer: Peer, *, now_s: float
) -> ShareLedger:
    """Return the ledger as if the next roster did not list this host.

    A host that stops gives up all its shares in this way.
    """
    if not ledger.transitions:
        return ledger
    newest = ledger.transitions[-1].roster
    hosts = newest.hosts
    if own_peer.host_id in hosts:
        hosts = hosts.delete(own_peer.host_id)
    roster = Roster(version=newest.version + 1, hosts=hosts)
    return adopt_roster(ledger, roster, Fence(), rules, own_peer, now_s=now_s)


def handover_message(
    release: ShareRelease, own_peer: Peer, *, loans_until_s: float, now_s: float
) -> ShareHandovers:
    """Return the message that hands the released shares over to a host."""
    since_s = release.unused_since_s
    return ShareHandovers(
        sender=own_peer,
        roster_version=release.roster_version,
        last_held_version=release.last_held_version,
        complete=since_s is not None,
        unused_for_s=0.0 if since_s is None else now_s - since_s,
        lent_for_s=max(0.0, loans_until_s - now_s),
        shares=tuple(
            _make_handover(organisation, lost, now_s)
            for organisation, lost in release.lost
        ),
    )


def refers_to_newer_roster(ledger: ShareLedger, message: ShareHandovers) -> bool:
    """Return whether the message refers to a roster not yet received here."""
    if not ledger.transitions:
        return True
    return ledger.transitions[-1].roster.version < message.roster_version


def receive_handovers(
    ledger: ShareLedger,
    message: ShareHandovers,
    rules: Rules,
    own_peer: Peer,
    *,
    now_s: float,
) -> ShareLedger:
    """Begin to use the shares that the message hands over.

    A share whose use has already begun stays as it is, so a repeated message adds no
    credit.
    """
    for handover in message.shares:
        rule = rules.get(handover.organisation)
        if rule is None:
            continue
        account = refresh_account(
            ledger, handover.organisation, rule, own_peer, now_s=now_s
        )
        account = _begin_handed_over_share(
            account, handover, slot_limit(rule), message.last_held_version + 1, now_s
        )
        accounts = ledger.accounts.set(handover.organisation, account)
        ledger = evolve(ledger, accounts=accounts)
    transitions = record_stop(ledger.transitions, message, now_s=now_s)
    return evolve(ledger, transitions=transitions)


def _refill_accounts(ledger: ShareLedger, rules: Rules, now_s: float) -> ShareLedger:
    accounts = ledger.accounts
    for name, account in ledger.accounts.items():
        if name in rules:
            limit = slot_limit(rules[name])
            accounts = accounts.set(name, refill_account(account, limit, now_s=now_s))
    return evolve(ledger, accounts=accounts)


def _apply_roster(
    ledger: ShareLedger,
    previous_transitions: tuple[RosterTransition, ...],
    own_peer: Peer,
    now_s: float,
) -> ShareLedger:
    lost: list[tuple[OrganisationName, LostShare]] = []
    accounts = ledger.accounts
    for name, account in ledger.accounts.items():
        synced = sync_account(account, name, ledger.transitions, own_peer)
        accounts = accounts.set(name, synced.account)
        lost += [
            (name, entry) for entry in synced.lost_shares if _has_begun(entry, now_s)
        ]
    releases = _make_releases(ledger, previous_transitions, lost, own_peer, now_s)
    return evolve(ledger, accounts=accounts, releases=ledger.releases + releases)


def _make_releases(
    ledger: ShareLedger,
    previous_transitions: tuple[RosterTransition, ...],
    lost: list[tuple[OrganisationName, LostShare]],
    own_peer: Peer,
    now_s: float,
) -> tuple[ShareRelease, ...]:
    newest = ledger.transitions[-1].roster
    last_held_version = (
        previous_transitions[-1].roster.version
        if previous_transitions
        else newest.version - 1
    )
    since_s = all_shares_in_use_since_s(previous_transitions, own_peer, now_s=now_s)
    recipients: dict[HostId, Host] = {}
    if has_only_grown(newest):
        recipients.update(_other_hosts_if_few(newest, own_peer))
    if since_s is not None:
        recipients.update(
            _gaining_hosts(previous_transitions[-1].roster, newest, own_peer)
        )
    recipients.update({entry.holder.host_id: entry.holder for _, entry in lost})
    recipients.pop(own_peer.host_id, None)
    return tuple(
        ShareRelease(
            recipient=host,
            roster_version=newest.version,
            last_held_version=last_held_version,
            unused_since_s=since_s,
            lost=tuple(item for item in lost if item[1].holder == host),
        )
        for host in recipients.values()
    )


def _gaining_hosts(old: Roster, new: Roster, own_peer: Peer) -> dict[HostId, Host]:
    previous_peers = {peer_of(host) for host in old.hosts.values()}
    if own_peer not in previous_peers:
        return {}
    is_still_listed = own_peer in {peer_of(host) for host in new.hosts.values()}
    if not is_still_listed:
        return dict(new.hosts)
    if _domains(old) != _domains(new):
        return _other_hosts_if_few(new, own_peer)
    return {
        host_id: host
        for host_id, host in new.hosts.items()
        if peer_of(host) not in previous_peers
    }


def _other_hosts_if_few(roster: Roster, own_peer: Peer) -> dict[HostId, Host]:
    if len(roster.hosts) > MAX_NOTIFIED_HOSTS:
        return {}
    return {
        host_id: host
        for host_id, host in roster.hosts.items()
        if host_id != own_peer.host_id
    }


def _domains(roster: Roster) -> set[str]:
    return {host.domain for host in roster.hosts.values()}


def _has_begun(entry: LostShare, now_s: float) -> bool:
    begins_at_s = entry.share.begins_at_s
    return begins_at_s is not None and begins_at_s <= now_s


def _make_handover(
    organisation: OrganisationName, lost: LostShare, now_s: float
) -> ShareHandover:
    share = lost.share
    ends_s = [
        loan.until_s for borrowed in share.lent.values() for loan in borrowed.loans
    ]
    ends_s += [loan.until_s for loan in share.inherited]
    return ShareHandover(
        organisation=organisation,
        slot=lost.slot,
        level=share.level,
        lent=lent_amount(share),
        lent_for_s=max(0.0, max(ends_s, default=now_s) - now_s),
    )


def _begin_handed_over_share(
    account: Account,
    handover: ShareHandover,
    limit: SlotLimit,
    since_version: int,
    now_s: float,
) -> Account:
    share = account.shares.get(handover.slot)
    if share is None or share.since_version != since_version:
        return account
    if share.begins_at_s is not None and share.begins_at_s <= now_s:
        return account
    lent = max(0.0, handover.lent)
    level = min(max(0.0, handover.level), max(0.0, limit.capacity - lent))
    inherited = (Loan(amount=lent, until_s=now_s + handover.lent_for_s),)
    new_share = Share(
        since_version=since_version,
        begins_at_s=now_s,
        as_of_s=now_s,
        level=level,
        inherited=inherited if lent > 0 else (),
    )
    return evolve(account, shares=account.shares.set(handover.slot, new_share))
