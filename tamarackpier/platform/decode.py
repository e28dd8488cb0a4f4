"""Decodes what the platform sends into the project's types, once."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from returns import result

from tamarackpier import codes, failures
from tamarackpier.fleet import model as fleet_model
from tamarackpier.platform import wire
from tamarackpier.routing import model

__all__ = ["configuration", "engine_record", "engine_report", "row_value"]

T = TypeVar("T")
_MS = 1e-3
_KINDS = {
    "idempotent": model.RouteKind.IDEMPOTENT,
    "non_idempotent": model.RouteKind.ONCE,
    "streaming": model.RouteKind.STREAM,
}


def row_value(text: object) -> bytes:
    """Returns the bytes of a row's value.

    Raises:
        ValueError: It is no base64.
    """
    if not isinstance(text, str):
        raise ValueError("the value is no text")
    return base64.b64decode(text, validate=True)


def configuration(
    data: bytes,
) -> result.Result[model.Configuration, codes.Fault]:
    """Decodes the operator's configuration."""
    return _decoded(data, _configuration, codes.BAD_CONFIGURATION)


def _configuration(found: Mapping[str, Any]) -> model.Configuration:
    accounts = None
    if "tenants" in found:
        accounts = {}
        for each in found["tenants"]:
            account = model.Account(each["name"], _rank(each.get("priority")))
            for key in each.get("api_keys", ()):
                accounts[key] = account
    services = [_service(each) for each in found.get("services", ())]
    return model.Configuration(
        int(found["version"]),
        tuple(_route(each) for each in found.get("routes", ())),
        {each.name: each for each in services},
        _limits(found.get("limits", {})),
        accounts,
    )


def _rank(value: object) -> int | None:
    return int(value) if isinstance(value, int | float) else None


def _route(found: Mapping[str, Any]) -> model.Route:
    split = found.get("traffic_split") or ()
    choices = tuple(
        model.ServiceChoice(each["service"], float(each.get("weight", 1)))
        for each in split
    )
    if not choices:
        choices = (model.ServiceChoice(found["service"], 1.0),)
    return model.Route(
        str(found.get("name", "")),
        found["host"],
        found["path_prefix"],
        _KINDS.get(found.get("kind", ""), model.RouteKind.ONCE),
        choices,
        float(found.get("timeout_ms", 60_000)) * _MS,
        float(found.get("target_latency_ms", 1_000)) * _MS,
        float(found.get("gap_target_ms", 1_000)) * _MS,
        int(found.get("priority", 5)),
        int(found.get("max_attempts", 1)),
        bool(found.get("public", False)),
        bool(found.get("resume_streams", False)),
    )


def _service(found: Mapping[str, Any]) -> model.ServiceSpec:
    engine = found.get("engine")
    return model.ServiceSpec(found["name"], _engine(engine) if engine else None)


def _engine(found: Mapping[str, Any]) -> model.EngineSpec:
    models = tuple(
        model.ModelSpec(
            each["name"],
            int(each.get("size", 1)),
            float(each.get("share", 1.0)),
            float(each.get("pace", 1.0)),
            float(each.get("load_s", 0.0)),
            float(each.get("warm_s", 0.0)),
        )
        for each in found.get("models", ())
    )
    return model.EngineSpec(
        models,
        int(found.get("slots", 1)),
        int(found.get("stride", 1)),
        float(found.get("step_ms", 0.0)) * _MS,
        float(found.get("per_seq_ms", 0.0)) * _MS,
        float(found.get("read_per_s", 1e9)),
        float(found.get("loads_per_s", 1.0)),
        int(found.get("loads_at_once", 1)),
        float(found.get("usual", {}).get("answer", 100)),
    )


def _limits(found: Mapping[str, Any]) -> model.Limits:
    usual = model.Limits()
    return model.Limits(
        int(found.get("max_header_bytes", usual.header_bytes)),
        int(found.get("max_body_bytes", usual.body_bytes)),
        float(found.get("header_timeout_ms", usual.header_timeout_s * 1e3))
        * _MS,
        float(found.get("idle_timeout_ms", usual.idle_timeout_s * 1e3)) * _MS,
    )


def engine_record(
    engine_id: str, data: bytes
) -> result.Result[fleet_model.EngineRecord, codes.Fault]:
    """Decodes an engine's row, which another writer may have spoilt."""
    return _decoded(
        data,
        lambda found: _engine_record(engine_id, found),
        codes.BAD_UPSTREAM_DATA,
    )


def _engine_record(
    engine_id: str, found: Mapping[str, Any]
) -> fleet_model.EngineRecord:
    state = found["state"]
    if state not in (wire.Word.READY, wire.Word.DRAINING):
        raise ValueError(f"unknown state {state!r}")
    host, _, port = _text(found["address"]).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"bad address {found['address']!r}")
    return fleet_model.EngineRecord(
        engine_id,
        _text(found["service"]),
        _text(found["address"]),
        _text(found["zone"]),
        _text(found.get("domain") or ""),
        _whole(found["slots"]),
        state == wire.Word.DRAINING,
        _whole(found.get("born", 0)),
        _model_in_use(found),
        _staged(found),
        _membership(found.get("group")),
    )


def _model_in_use(found: Mapping[str, Any]) -> str:
    models = found.get("models") or ()
    return _text(models[0]["name"]) if models else ""


def _staged(found: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(_text(each) for each in found.get("staged") or ())


def _membership(
    found: Mapping[str, Any] | None,
) -> fleet_model.Membership | None:
    if not found or not found.get("name"):
        return None
    return fleet_model.Membership(
        fleet_model.ReplicaKey(_text(found["name"]), _whole(found["epoch"])),
        _whole(found["rank"]),
        fleet_model.MemberState(found["state"]),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, found {value!r}")
    return value


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected a whole number, found {value!r}")
    return value


def engine_report(
    engine_id: str, data: bytes
) -> result.Result[fleet_model.EngineReport, codes.Fault]:
    """Decodes an engine's answer about itself."""
    return _decoded(
        data,
        lambda found: _engine_report(engine_id, found),
        codes.BAD_UPSTREAM_DATA,
    )


def _engine_report(
    engine_id: str, found: Mapping[str, Any]
) -> fleet_model.EngineReport:
    return fleet_model.EngineReport(
        engine_id,
        _membership(found.get("group")),
        int(found.get("running", 0)),
        int(found.get("queued", 0)),
        float(found.get("pace", 1.0)),
        _whole(found.get("born", 0)),
        _model_in_use(found),
        _staged(found),
    )


def _decoded(
    data: bytes, build: Callable[[Any], T], code: codes.ResultCode
) -> result.Result[T, codes.Fault]:
    """Returns what is built of a JSON document, or why it can't be."""
    try:
        return result.Success(build(json.loads(data)))
    except failures.MALFORMED as error:
        return failures.failure(code, failures.describe(error))
