"""Selects the fabric domains that an entry instance sends requests to.

If there are many domains, each instance uses only a few of them per model, so
that the amount of evidence it pulls does not grow with the number of domains.
Rendezvous hashing on the instance ID spreads the instances over the domains.
"""

from collections.abc import Iterable, Mapping

from tamarackpier.peer import membership

__all__ = ["used_domains"]

_ReplicaKind = tuple[str, str, int]


def used_domains(
    instance_id: str,
    holding: Mapping[str, Iterable[_ReplicaKind]],
    max_domains: int,
) -> list[str]:
    """Returns the domains to use, sorted by name.

    Args:
        instance_id: ID of the entry instance.
        holding: Kinds of replica (model, version and span) in each domain.
        max_domains: Maximum number of domains to use for each kind. Domains
            without replicas count as one more kind.
    """
    if len(holding) <= max_domains:
        return sorted(holding)
    by_kind: dict[_ReplicaKind | None, list[str]] = {}
    for domain, kinds in holding.items():
        domain_kinds: list[_ReplicaKind | None] = [*kinds]
        for kind in domain_kinds or [None]:
            by_kind.setdefault(kind, []).append(domain)
    used: set[str] = set()
    for domains in by_kind.values():
        used.update(membership.rendezvous(instance_id, domains)[:max_domains])
    return sorted(used)
