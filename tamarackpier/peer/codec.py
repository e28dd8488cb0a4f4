"""Converts records to wire messages and back.

Messages from peers are validated here. A malformed message raises `ValueError`,
which the caller counts, so that no malformed data reaches other modules.
"""

from collections.abc import Iterable

from tamarackpier.peer import ages, membership
from tamarackpier.replica import gate
from tamarackpier.wire import peer_pb2

__all__ = [
    "evidence_from_wire",
    "evidence_to_wire",
    "record_from_wire",
    "record_to_wire",
]

_MAX_ID_LENGTH = 256


def record_to_wire(record: membership.PeerRecord) -> peer_pb2.PeerRecord:
    """Returns the wire message for a peer record."""
    return peer_pb2.PeerRecord(
        id=record.id,
        incarnation=record.incarnation,
        revision=record.revision,
        availability_zone=record.availability_zone,
        region=record.region,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        leaving=record.is_leaving,
        sheet_version=record.sheet_version,
        demand=[
            peer_pb2.AccountDemand(
                account=account,
                tokens_per_s=demand.tokens_per_s,
                requests_per_s=demand.requests_per_s,
            )
            for account, demand in record.demand.items()
        ],
        domains=[_domain_to_wire(status) for status in record.domains],
        leaving_engines=sorted(record.leaving_engines),
        silent=sorted(record.silent),
    )


def record_from_wire(message: peer_pb2.PeerRecord) -> membership.PeerRecord:
    """Returns the peer record in a wire message.

    Raises:
        ValueError: The message is malformed.
    """
    if not 0 < len(message.id) <= _MAX_ID_LENGTH or not message.peer_address:
        raise ValueError(
            "peer record has no peer address or an id of invalid length"
        )
    return membership.PeerRecord(
        message.id,
        message.incarnation,
        message.revision,
        message.availability_zone,
        message.region,
        message.caller_address,
        message.peer_address,
        message.leaving,
        message.sheet_version,
        {
            demand.account: _demand_from_wire(demand)
            for demand in message.demand
        },
        tuple(_domain_from_wire(status) for status in message.domains),
        frozenset(message.leaving_engines),
        frozenset(message.silent),
    )


def evidence_to_wire(evidence: gate.Evidence, now: float) -> peer_pb2.Evidence:
    """Returns the wire message for evidence, with its age at `now`."""
    return peer_pb2.Evidence(
        replica_id=evidence.replica_id,
        domain=evidence.domain,
        availability_zone=evidence.availability_zone,
        model=evidence.model,
        version=evidence.version,
        fence=evidence.fence,
        is_open=evidence.is_open,
        member_count=evidence.member_count,
        lead=evidence.lead,
        address=evidence.address,
        running=evidence.running,
        slots=evidence.slots,
        age_ms=ages.age_ms(evidence.at, now),
    )


def evidence_from_wire(
    message: peer_pb2.Evidence, asked_at: float
) -> gate.Evidence:
    """Returns the evidence in the reply to a pull.

    Args:
        message: The wire message.
        asked_at: Time at which the pull was sent, in seconds.

    Raises:
        ValueError: The message is malformed.
    """
    if not message.replica_id or not message.address or not message.slots:
        raise ValueError("evidence has no replica id, address or slots")
    return gate.Evidence(
        message.replica_id,
        message.domain,
        message.availability_zone,
        message.model,
        message.version,
        message.fence,
        message.is_open,
        message.member_count,
        message.lead,
        message.address,
        message.running,
        message.slots,
        ages.local_time(message.age_ms, asked_at),
    )


def _domain_to_wire(status: membership.DomainStatus) -> peer_pb2.DomainStatus:
    return peer_pb2.DomainStatus(
        domain=status.domain,
        availability_zone=status.availability_zone,
        listed=status.listed,
        usable=status.usable,
        lease_number=status.lease_number,
        holding=list(_holding_to_wire(status)),
    )


def _holding_to_wire(
    status: membership.DomainStatus,
) -> Iterable[peer_pb2.Holding]:
    for (model, version, span), count in status.holding.items():
        yield peer_pb2.Holding(
            model=model, version=version, span=span, count=count
        )


def _domain_from_wire(
    message: peer_pb2.DomainStatus,
) -> membership.DomainStatus:
    holding = {
        (entry.model, entry.version, entry.span): entry.count
        for entry in message.holding
    }
    return membership.DomainStatus(
        message.domain,
        message.availability_zone,
        message.listed,
        message.usable,
        holding,
        message.lease_number,
    )


def _demand_from_wire(
    message: peer_pb2.AccountDemand,
) -> membership.AccountDemand:
    if not message.tokens_per_s >= 0 or not message.requests_per_s >= 0:
        raise ValueError("account demand must be a number that is not negative")
    return membership.AccountDemand(
        message.tokens_per_s, message.requests_per_s
    )
