"""Writes what the platform's side says, for stand-ins."""

import base64
import json
from collections.abc import Mapping
from typing import Any

from tamarackpier.fleet import model
from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model

__all__ = ["configuration", "engine_row", "order", "report", "row"]

_MS_PER_S = 1000
_KINDS = {
    routing_model.RouteKind.IDEMPOTENT: "idempotent",
    routing_model.RouteKind.ONCE: "non_idempotent",
    routing_model.RouteKind.STREAM: "streaming",
}
_ORDER_KINDS = {each.value: each for each in model.OrderKind}


def row(
    table: str, key: str, version: int, data: bytes | None
) -> dict[str, Any]:
    """Returns a row as the store answers it."""
    found: dict[str, Any] = {
        "table": table,
        "part": "",
        "key": key,
        "ver": version,
    }
    if data is None:
        found["removed"] = True
    else:
        found["value"] = base64.b64encode(data).decode()
    return found


def engine_row(record: model.EngineRecord, sequence: int = 0) -> bytes:
    """Returns an engine's row."""
    state = wire.Word.DRAINING if record.is_leaving else wire.Word.READY
    found: dict[str, Any] = {
        "service": record.service,
        "address": record.address,
        "zone": record.availability_zone,
        "version": "v1",
        "slots": record.slots,
        "state": state.value,
        "cold_left_ms": 0,
        "born": record.incarnation,
        "sequence": sequence,
        "models": [{"name": record.model}] if record.model else [],
        "staged": list(record.staged),
        "domain": record.domain,
    }
    if record.membership is not None:
        found["group"] = _membership(record.membership)
    return json.dumps(found).encode()


def report(record: model.EngineRecord, running: int) -> bytes:
    """Returns an engine's report."""
    found: dict[str, Any] = {
        "running": running,
        "queued": 0,
        "pace": 1.0,
        "born": record.incarnation,
        "models": [{"name": record.model}] if record.model else [],
        "staged": list(record.staged),
    }
    if record.membership is not None:
        found["group"] = _membership(record.membership)
    return json.dumps(found).encode()


def _membership(found: model.Membership) -> dict[str, Any]:
    return {
        "name": found.key.replica,
        "epoch": found.key.fence,
        "rank": found.rank,
        "state": found.state.value,
    }


def order(data: bytes, engine: model.EngineRecord) -> model.Order:
    """Decodes an order to an engine.

    Raises:
        ValueError: It is none.
    """
    found: Mapping[str, Any] = json.loads(data)
    kind = _ORDER_KINDS.get(found.get("operation", ""))
    if kind is None:
        raise ValueError(f"no order {found.get('operation')!r}")
    key = None
    if "group" in found:
        key = model.ReplicaKey(found["group"], found["epoch"])
    return model.Order(
        kind,
        engine,
        "",
        key,
        found.get("model", ""),
        tuple(found.get("members", ())),
    )


def configuration(found: routing_model.Configuration) -> bytes:
    """Returns a configuration as the operator writes it."""
    accounts: dict[str, dict[str, Any]] = {}
    for key, account in (found.accounts or {}).items():
        entry = accounts.setdefault(
            account.name,
            {
                "name": account.name,
                "api_keys": [],
                "priority": account.priority,
            },
        )
        entry["api_keys"].append(key)
    document: dict[str, Any] = {
        "version": found.version,
        "routes": [_route(each) for each in found.routes],
        "services": [_service(each) for each in found.services.values()],
        "limits": {
            "max_header_bytes": found.limits.header_bytes,
            "max_body_bytes": found.limits.body_bytes,
            "header_timeout_ms": found.limits.header_timeout_s * _MS_PER_S,
            "idle_timeout_ms": found.limits.idle_timeout_s * _MS_PER_S,
        },
    }
    if found.accounts is not None:
        document["tenants"] = list(accounts.values())
    return json.dumps(document).encode()


def _route(found: routing_model.Route) -> dict[str, Any]:
    return {
        "name": found.name,
        "host": found.host,
        "path_prefix": found.prefix,
        "kind": _KINDS[found.kind],
        "timeout_ms": found.timeout_s * _MS_PER_S,
        "target_latency_ms": found.objective_s * _MS_PER_S,
        "gap_target_ms": found.gap_objective_s * _MS_PER_S,
        "priority": found.priority,
        "traffic_split": [
            {"service": each.service, "weight": each.weight}
            for each in found.choices
        ],
        "max_attempts": found.max_attempts,
        "public": found.is_public,
        "resume_streams": found.is_resumable,
    }


def _service(found: routing_model.ServiceSpec) -> dict[str, Any]:
    document: dict[str, Any] = {"name": found.name, "health_path": "/health"}
    spec = found.engine
    if spec is not None:
        document["engine"] = {
            "slots": spec.slots,
            "stride": spec.stride,
            "step_ms": spec.step_s * _MS_PER_S,
            "per_seq_ms": spec.step_s_per_sequence * _MS_PER_S,
            "read_per_s": spec.prefill_tokens_per_s,
            "loads_per_s": spec.loads_per_s,
            "loads_at_once": spec.loads_at_once,
            "usual": {"answer": spec.mean_answer_tokens},
            "models": [
                {
                    "name": each.name,
                    "size": each.span,
                    "share": each.share,
                    "pace": each.pace,
                    "load_s": each.load_s,
                    "warm_s": each.warm_s,
                }
                for each in spec.models
            ],
        }
    return document
