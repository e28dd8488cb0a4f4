"""Decodes the platform's JSON documents, once, into the project's types."""

import base64
import ipaddress
import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from returns import result

from tamarackpier import codes, failures
from tamarackpier.fleet import model as fleet_model
from tamarackpier.platform import interfaces, wire
from tamarackpier.routing import model

__all__ = [
    "account_entries",
    "address",
    "cold_left_s",
    "configuration",
    "engine_record",
    "engine_report",
    "is_leaving",
    "request_rate",
    "retry_after_s",
    "row_key",
    "row_value",
    "store_era",
    "times_by_name",
]

T = TypeVar("T")
_S_PER_MS = 1e-3
# Longest name, in bytes; the store's limit on keys, into which names enter.
_MAX_NAME_BYTES = 200
_MAX_PORT = 65_535
# Largest count in messages to peers, whose fields hold 32 bits.
_MAX_COUNT = (1 << 31) - 1
# Largest whole number that every writer of JSON keeps exact.
_MAX_WHOLE_NUMBER = 1 << 53
_ROUTE_KINDS = {
    "idempotent": model.RouteKind.IDEMPOTENT,
    "non_idempotent": model.RouteKind.ONCE,
    "streaming": model.RouteKind.STREAM,
}


def row_key(text: object) -> str:
    """Returns a row's key.

    Raises:
        ValueError: The key is no text that can be encoded.
    """
    if not isinstance(text, str):
        raise ValueError("row key is not a string")
    text.encode()
    return text


def row_value(text: object) -> bytes:
    """Returns the bytes of a row's value.

    Raises:
        ValueError: The value is not base64 text.
    """
    if not isinstance(text, str):
        raise ValueError("row value is not a string")
    return base64.b64decode(text, validate=True)


def times_by_name(document: Any) -> dict[str, float]:
    """Returns the times in a row's field, by name, in seconds.

    Raises:
        AttributeError, OverflowError, TypeError, ValueError: The field holds
            something else.
    """
    times = {_name(name): float(at) for name, at in document.items()}
    if not all(math.isfinite(at) for at in times.values()):
        raise ValueError("a time is not finite")
    return times


def store_era(text: str | None) -> int:
    """Returns the store's era; 0 for a store that names none.

    Raises:
        ValueError: The text is not a number that fits into a version.
    """
    if text is None:
        return 0
    if not text.isdecimal() or not int(text) <= interfaces.MAX_ERA:
        raise ValueError(
            f"store era is not a number up to {interfaces.MAX_ERA}: {text!r}"
        )
    return int(text)


def configuration(
    data: bytes,
) -> result.Result[model.Configuration, codes.Fault]:
    """Decodes the operator's configuration."""
    return _decode(data, _configuration, codes.BAD_CONFIGURATION)


def account_entries(
    data: bytes,
) -> result.Result[
    tuple[tuple[model.Account, tuple[str, ...]], ...], codes.Fault
]:
    """Decodes a configuration's accounts with their keys, also without any."""
    return _decode(
        data,
        lambda document: tuple(
            (
                model.Account(
                    tenant["name"], _priority(tenant.get("priority"))
                ),
                tuple(str(key) for key in tenant.get("api_keys", ())),
            )
            for tenant in document.get("tenants", ())
        ),
        codes.BAD_CONFIGURATION,
    )


def _configuration(document: Mapping[str, Any]) -> model.Configuration:
    accounts = None
    if "tenants" in document:
        accounts = {}
        for tenant in document["tenants"]:
            account = model.Account(
                tenant["name"], _priority(tenant.get("priority"))
            )
            for key in tenant.get("api_keys", ()):
                accounts[key] = account
    services = [_service(entry) for entry in document.get("services", ())]
    return model.Configuration(
        int(document["version"]),
        tuple(_route(entry) for entry in document.get("routes", ())),
        {service.name: service for service in services},
        _limits(document.get("limits", {})),
        accounts,
    )


def _priority(value: object) -> int | None:
    return int(value) if isinstance(value, int | float) else None


def _route(document: Mapping[str, Any]) -> model.Route:
    split = document.get("traffic_split") or ()
    choices = tuple(
        model.ServiceChoice(choice["service"], float(choice.get("weight", 1)))
        for choice in split
    )
    if not choices:
        choices = (model.ServiceChoice(document["service"], 1.0),)
    return model.Route(
        str(document.get("name", "")),
        document["host"],
        document["path_prefix"],
        _ROUTE_KINDS.get(document.get("kind", ""), model.RouteKind.ONCE),
        choices,
        float(document.get("timeout_ms", 60_000)) * _S_PER_MS,
        float(document.get("target_latency_ms", 1_000)) * _S_PER_MS,
        float(document.get("gap_target_ms", 1_000)) * _S_PER_MS,
        int(document.get("priority", 5)),
        int(document.get("max_attempts", 1)),
        bool(document.get("public", False)),
        bool(document.get("resume_streams", False)),
    )


def _service(document: Mapping[str, Any]) -> model.ServiceSpec:
    engine = document.get("engine")
    return model.ServiceSpec(
        document["name"],
        _engine(engine) if engine else None,
        float(document.get("cold_s", 0.0)),
        float(document.get("cold_per_s", 0.0)),
    )


def _engine(document: Mapping[str, Any]) -> model.EngineSpec:
    models = tuple(_model(entry) for entry in document.get("models", ()))
    return model.EngineSpec(
        models,
        int(document.get("slots", 1)),
        int(document.get("stride", 1)),
        float(document.get("step_ms", 0.0)) * _S_PER_MS,
        float(document.get("per_seq_ms", 0.0)) * _S_PER_MS,
        float(document.get("read_per_s", 1e9)),
        float(document.get("loads_per_s", 1.0)),
        int(document.get("loads_at_once", 1)),
        float(document.get("usual", {}).get("answer", 100)),
    )


def _model(document: Mapping[str, Any]) -> model.ModelSpec:
    span = int(document.get("size", 1))
    if span < 1:
        raise ValueError(
            f"a replica of model {document['name']!r} has {span} engines"
        )
    return model.ModelSpec(
        document["name"],
        span,
        float(document.get("share", 1.0)),
        float(document.get("pace", 1.0)),
        float(document.get("load_s", 0.0)),
        float(document.get("warm_s", 0.0)),
    )


def _limits(document: Mapping[str, Any]) -> model.Limits:
    defaults = model.Limits()
    return model.Limits(
        int(document.get("max_header_bytes", defaults.header_bytes)),
        int(document.get("max_body_bytes", defaults.body_bytes)),
        float(
            document.get("header_timeout_ms", defaults.header_timeout_s * 1e3)
        )
        * _S_PER_MS,
        float(document.get("idle_timeout_ms", defaults.idle_timeout_s * 1e3))
        * _S_PER_MS,
    )


def engine_record(
    engine_id: str, data: bytes
) -> result.Result[fleet_model.EngineRecord, codes.Fault]:
    """Decodes an engine's row; other writers may have left it malformed."""
    return _decode(
        data,
        lambda document: _engine_record(engine_id, document),
        codes.BAD_UPSTREAM_DATA,
    )


def _engine_record(
    engine_id: str, document: Mapping[str, Any]
) -> fleet_model.EngineRecord:
    state = document["state"]
    if state not in (wire.EngineRowState.READY, wire.EngineRowState.DRAINING):
        raise ValueError(f"unknown engine state {state!r}")
    return fleet_model.EngineRecord(
        _name(engine_id),
        _name(document["service"]),
        address(document["address"]),
        _name(document["zone"]),
        _name(document.get("domain") or "", 0),
        _integer(document["slots"], 1, _MAX_COUNT),
        state == wire.EngineRowState.DRAINING,
        _integer(document.get("born", 0)),
        _model_in_use(document),
        _staged_models(document),
        _membership(document.get("group")),
        _cold_left_s(document.get("cold_left_ms")),
    )


def _cold_left_s(value: object) -> float:
    """Returns for how long an engine is cold; 0 if the field is invalid.

    A row without a valid time is used as one of a warm engine.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    if not 0 <= value <= _MAX_WHOLE_NUMBER:
        return 0.0
    return value * _S_PER_MS


def _model_in_use(document: Mapping[str, Any]) -> str:
    models = document.get("models") or ()
    return _name(models[0]["name"]) if models else ""


def _staged_models(document: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(_name(name) for name in document.get("staged") or ())


def _membership(
    document: Mapping[str, Any] | None,
) -> fleet_model.Membership | None:
    if not document or not document.get("name"):
        return None
    return fleet_model.Membership(
        fleet_model.ReplicaKey(
            _name(document["name"]), _integer(document["epoch"])
        ),
        _integer(document["rank"], 0, _MAX_COUNT),
        fleet_model.MemberState(document["state"]),
    )


def _name(value: object, min_bytes: int = 1) -> str:
    """Returns a name that fits into headers, keys and messages to peers.

    Raises:
        TypeError: The value is not a string.
        ValueError: It is too long or too short, or not printable; a lone
            surrogate is not printable either.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r:.100}")
    if not value.isprintable():
        raise ValueError(f"name is not printable: {value!r:.100}")
    if not min_bytes <= len(value.encode()) <= _MAX_NAME_BYTES:
        raise ValueError(
            f"name has not {min_bytes} to {_MAX_NAME_BYTES} bytes:"
            f" {value!r:.100}"
        )
    return value


def address(value: object) -> str:
    """Returns an address to which connections can be opened.

    Raises:
        TypeError: The value is not a string.
        ValueError: It is not the IP address of one host and a port.
    """
    text = _name(value)
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    if (
        is_bracketed != (ip.version == 6)
        or "%" in host
        or ip.is_unspecified
        or ip.is_multicast
    ):
        raise ValueError(f"no host has this address: {text!r}")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= _MAX_PORT):
        raise ValueError(f"address has no valid port: {text!r}")
    return text


def _integer(
    value: object, lowest: int = 0, highest: int = _MAX_WHOLE_NUMBER
) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, got {value!r:.100}")
    if not lowest <= value <= highest:
        raise ValueError(f"expected an integer from {lowest} to {highest}")
    return value


def request_rate(text: str | None) -> float | None:
    """Returns a limit on requests a second; None if it is absent or invalid.

    Args:
        text: Decimal number.
    """
    return _non_negative(text)


def retry_after_s(text: str | None) -> float | None:
    """Returns for how long an engine wants nothing more, in seconds.

    Args:
        text: Decimal number of seconds.

    Returns:
        The time; None if it is absent or invalid. Dates are invalid.
    """
    return _non_negative(text)


def cold_left_s(text: str | None) -> float | None:
    """Returns for how long an engine is cold, in seconds.

    Args:
        text: Decimal number of milliseconds.

    Returns:
        The time; None if it is absent or invalid.
    """
    left_ms = _non_negative(text)
    return None if left_ms is None else left_ms * _S_PER_MS


def _non_negative(text: str | None) -> float | None:
    """Returns a finite number of at least 0; None if the text is none."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def is_leaving(text: str | None) -> bool:
    """Returns whether a header says that the engine shuts down."""
    return text is not None and text.strip() == "1"


def engine_report(
    engine_id: str, data: bytes
) -> result.Result[fleet_model.EngineReport, codes.Fault]:
    """Decodes an engine's report on itself."""
    return _decode(
        data,
        lambda document: _engine_report(engine_id, document),
        codes.BAD_UPSTREAM_DATA,
    )


def _engine_report(
    engine_id: str, document: Mapping[str, Any]
) -> fleet_model.EngineReport:
    return fleet_model.EngineReport(
        engine_id,
        _membership(document.get("group")),
        int(document.get("running", 0)),
        int(document.get("queued", 0)),
        float(document.get("pace", 1.0)),
        _integer(document.get("born", 0)),
        _model_in_use(document),
        _staged_models(document),
    )


def _decode(
    data: bytes, build: Callable[[Any], T], code: codes.ResultCode
) -> result.Result[T, codes.Fault]:
    """Returns the value built from a JSON document, or a decoding failure."""
    try:
        return result.Success(build(json.loads(data)))
    except failures.MALFORMED as error:
        return failures.failure(code, failures.describe(error))
