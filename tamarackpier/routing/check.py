"""Checks a configuration for errors, and compares two versions of it."""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Iterator, Mapping, Sequence

from tamarackpier import codes
from tamarackpier.routing import model

__all__ = ["AccountEntry", "Finding", "check", "differences"]

_KEY_HASH_CHARACTERS = 8


@dataclasses.dataclass(frozen=True)
class AccountEntry:
    """An account as the operator wrote it.

    Attributes:
        account: The account.
        keys: The API keys of its requests.
    """

    account: model.Account
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Finding:
    """Something wrong in a configuration.

    Attributes:
        fault: What is wrong, and where.
        is_error: Whether the configuration can't be meant like this.
    """

    fault: codes.Fault
    is_error: bool = True


def check(
    configuration: model.Configuration, accounts: Sequence[AccountEntry]
) -> tuple[Finding, ...]:
    """Returns what is wrong in a configuration.

    Args:
        configuration: The configuration.
        accounts: Its accounts, also those without keys.
    """
    return (
        *_check_routes(configuration),
        *_check_accounts(accounts),
        *_check_limits(configuration.limits),
    )


def _check_routes(configuration: model.Configuration) -> Iterator[Finding]:
    first_names: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        where = _route_name(route)
        place = (route.host.lower(), route.prefix)
        if place in first_names:
            yield _error(
                codes.ROUTE_SHADOWED,
                f"{first_names[place]} before it has the same host and prefix",
                where,
            )
        first_names.setdefault(place, where)
        if not route.host:
            yield _error(codes.ROUTE_UNREACHABLE, "it has no host", where)
        if not route.prefix.startswith("/"):
            yield _error(
                codes.ROUTE_UNREACHABLE,
                f"no path begins with {route.prefix!r}",
                where,
            )
        yield from _check_choices(route, configuration.services, where)
        yield from _check_times(route, where)


def _check_choices(
    route: model.Route, services: Mapping[str, model.ServiceSpec], where: str
) -> Iterator[Finding]:
    for choice in route.choices:
        if choice.service not in services:
            detail = f"service {choice.service!r} does not exist"
            yield _error(codes.SERVICE_UNKNOWN, detail, where)
        if choice.weight < 0:
            detail = f"service {choice.service!r} has weight {choice.weight:g}"
            yield _error(codes.ROUTE_WITHOUT_WEIGHT, detail, where)
    if all(choice.weight <= 0 for choice in route.choices):
        detail = "no service has a weight above 0"
        yield _error(codes.ROUTE_WITHOUT_WEIGHT, detail, where)
        return
    for choice in route.choices:
        if choice.weight == 0:
            detail = f"service {choice.service!r} has weight 0"
            fault = codes.fault(codes.ROUTE_WITHOUT_WEIGHT, detail, where)
            yield Finding(fault, is_error=False)


def _check_times(route: model.Route, where: str) -> Iterator[Finding]:
    code = codes.LIMITS_CONTRADICT
    timeout = f"timeout_ms of {_ms(route.timeout_s)}"
    if route.timeout_s <= 0:
        yield _error(code, f"{timeout} leaves no time", where)
    if route.objective_s > route.timeout_s:
        objective = f"target_latency_ms of {_ms(route.objective_s)}"
        yield _error(code, f"{objective} exceeds {timeout}", where)
    is_stream = route.kind is model.RouteKind.STREAM
    if is_stream and route.gap_objective_s > route.timeout_s:
        gap = f"gap_target_ms of {_ms(route.gap_objective_s)}"
        yield _error(code, f"{gap} exceeds {timeout}", where)
    if route.max_attempts < 1:
        detail = f"max_attempts is {route.max_attempts}"
        yield _error(code, detail, where)


def _check_accounts(accounts: Sequence[AccountEntry]) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for entry in accounts:
        name = entry.account.name
        where = f"account {name}"
        if not entry.keys:
            fault = codes.fault(
                codes.ACCOUNT_WITHOUT_KEYS, "no request can be its", where
            )
            yield Finding(fault, is_error=False)
        for key in entry.keys:
            holder = holders.setdefault(key, name)
            if holder != name:
                detail = f"account {holder} holds {_masked(key)}, too"
                yield _error(codes.KEY_SHARED, detail, where)


def _check_limits(limits: model.Limits) -> Iterator[Finding]:
    for name, value in (
        ("max_header_bytes", limits.header_bytes),
        ("header_timeout_ms", limits.header_timeout_s),
        ("idle_timeout_ms", limits.idle_timeout_s),
    ):
        if value <= 0:
            detail = f"{name} of {value:g} lets no request in"
            yield _error(codes.LIMITS_CONTRADICT, detail, "limits")
    if limits.body_bytes < 0:
        detail = f"max_body_bytes is {limits.body_bytes}"
        yield _error(codes.LIMITS_CONTRADICT, detail, "limits")


def differences(
    before: model.Configuration,
    accounts_before: Iterable[AccountEntry],
    after: model.Configuration,
    accounts_after: Iterable[AccountEntry],
) -> tuple[str, ...]:
    """Returns what differs between two versions, one line each.

    Keys are not shown, but the start of their SHA-256 sum.
    """
    return (
        *_compare("route", _routes(before), _routes(after)),
        *_compare(
            "service",
            {name: _fields(spec) for name, spec in before.services.items()},
            {name: _fields(spec) for name, spec in after.services.items()},
        ),
        *_compare(
            "account", _accounts(accounts_before), _accounts(accounts_after)
        ),
        *_compare(
            "limits",
            {"": _fields(before.limits)},
            {"": _fields(after.limits)},
        ),
    )


def _routes(
    configuration: model.Configuration,
) -> dict[str, dict[str, object]]:
    counts: collections.Counter[str] = collections.Counter()
    routes = {}
    for route in configuration.routes:
        name = route.name or _route_name(route).removeprefix("route ")
        counts[name] += 1
        if counts[name] > 1:
            name += f" ({counts[name]})"
        routes[name] = _fields(route)
    return routes


def _accounts(
    entries: Iterable[AccountEntry],
) -> dict[str, dict[str, object]]:
    accounts: dict[str, dict[str, object]] = {}
    for entry in entries:
        fields = accounts.setdefault(entry.account.name, _fields(entry.account))
        fields.update({_masked(key): "held" for key in entry.keys})
    return accounts


def _compare(
    kind: str,
    before: Mapping[str, Mapping[str, object]],
    after: Mapping[str, Mapping[str, object]],
) -> Iterator[str]:
    for name in sorted({*before, *after}):
        subject = f"{kind} {name}".strip()
        if name not in after:
            yield f"{subject}: removed"
        elif name not in before:
            yield f"{subject}: added"
        else:
            old, new = before[name], after[name]
            for field in sorted({*old, *new}):
                if old.get(field) != new.get(field):
                    yield (
                        f"{subject}: {field}: {_shown(old.get(field))}"
                        f" -> {_shown(new.get(field))}"
                    )


def _fields(value: object) -> dict[str, object]:
    """Returns the fields of a data class by dotted names."""
    fields: dict[str, object] = {}

    def add(name: str, part: object) -> None:
        if dataclasses.is_dataclass(part) and not isinstance(part, type):
            for field in dataclasses.fields(part):
                dotted = f"{name}.{field.name}" if name else field.name
                add(dotted, getattr(part, field.name))
        elif isinstance(part, tuple):
            for index, item in enumerate(part):
                label = getattr(item, "name", None) or getattr(
                    item, "service", index
                )
                add(f"{name}.{label}", item)
        else:
            fields[name] = part

    add("", value)
    return fields


def _shown(value: object) -> str:
    return "none" if value is None else str(getattr(value, "value", value))


def _masked(key: str) -> str:
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"key sha256:{digest[:_KEY_HASH_CHARACTERS]}"


def _route_name(route: model.Route) -> str:
    place = f"{route.host}{route.prefix}"
    return f"route {route.name} ({place})" if route.name else f"route {place}"


def _ms(seconds: float) -> str:
    return f"{seconds * 1e3:g}"


def _error(code: codes.ResultCode, detail: str, where: str) -> Finding:
    return Finding(codes.fault(code, detail, where))
