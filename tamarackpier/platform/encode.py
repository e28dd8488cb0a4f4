"""Encodes and decodes documents on the platform's side of its protocols.

Stand-ins for the platform's services and for engines use this module.
"""

import base64
import json
from collections.abc import Mapping
from typing import Any

from tamarackpier.fleet import model
from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model

__all__ = ["configuration", "engine_row", "order", "report", "row"]

_MS_PER_S = 1000
_ROUTE_KINDS = {
    routing_model.RouteKind.IDEMPOTENT: "idempotent",
    routing_model.RouteKind.ONCE: "non_idempotent",
    routing_model.RouteKind.STREAM: "streaming",
}
_ORDER_KINDS = {kind.value: kind for kind in model.OrderKind}


def row(
    table: str, key: str, version: int, data: bytes | None
) -> dict[str, Any]:
    """Returns a row in the form of the row store's responses.

    Args:
        table: Name of the table.
        key: Key of the row.
        version: Version of the row.
        data: Bytes of the row; None if it was removed.
    """
    document: dict[str, Any] = {
        "table": table,
        "part": "",
        "key": key,
        "ver": version,
    }
    if data is None:
        document["removed"] = True
    else:
        document["value"] = base64.b64encode(data).decode()
    return document


def engine_row(record: model.EngineRecord, sequence: int = 0) -> bytes:
    """Returns the value of an engine's row as JSON.

    Args:
        record: Record of the engine.
        sequence: Value of the row's field `sequence`, which `decode` ignores.
    """
    state = (
        wire.EngineRowState.DRAINING
        if record.is_leaving
        else wire.EngineRowState.READY
    )
    document: dict[str, Any] = {
        "service": record.service,
        "address": record.address,
        "zone": record.availability_zone,
        "version": "v1",
        "slots": record.slots,
        "state": state.value,
        "cold_left_ms": round(record.cold_left_s * _MS_PER_S),
        "born": record.incarnation,
        "sequence": sequence,
        "models": [{"name": record.model}] if record.model else [],
        "staged": list(record.staged),
        "domain": record.domain,
    }
    if record.membership is not None:
        document["group"] = _membership(record.membership)
    return json.dumps(document).encode()


def report(record: model.EngineRecord, running: int) -> bytes:
    """Returns an engine's report on itself as JSON.

    Args:
        record: Record of the engine.
        running: Number of requests in flight at the engine.
    """
    document: dict[str, Any] = {
        "running": running,
        "queued": 0,
        "pace": 1.0,
        "born": record.incarnation,
        "models": [{"name": record.model}] if record.model else [],
        "staged": list(record.staged),
    }
    if record.membership is not None:
        document["group"] = _membership(record.membership)
    return json.dumps(document).encode()


def _membership(membership: model.Membership) -> dict[str, Any]:
    return {
        "name": membership.key.replica,
        "epoch": membership.key.fence,
        "rank": membership.rank,
        "state": membership.state.value,
    }


def order(data: bytes, engine: model.EngineRecord) -> model.Order:
    """Decodes an order to an engine.

    Args:
        data: Order as a JSON document.
        engine: Record of the engine that received the order.

    Raises:
        ValueError: The document is not JSON or its operation is unknown.
        KeyError: The document names a replica without its fencing number.
    """
    document: Mapping[str, Any] = json.loads(data)
    kind = _ORDER_KINDS.get(document.get("operation", ""))
    if kind is None:
        raise ValueError(
            f"unknown order operation {document.get('operation')!r}"
        )
    key = None
    if "group" in document:
        key = model.ReplicaKey(document["group"], document["epoch"])
    return model.Order(
        kind,
        engine,
        "",
        key,
        document.get("model", ""),
        tuple(document.get("members", ())),
    )


def configuration(operator_configuration: routing_model.Configuration) -> bytes:
    """Returns a configuration as the JSON document that an operator writes."""
    accounts: dict[str, dict[str, Any]] = {}
    for key, account in (operator_configuration.accounts or {}).items():
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
        "version": operator_configuration.version,
        "routes": [_route(route) for route in operator_configuration.routes],
        "services": [
            _service(service)
            for service in operator_configuration.services.values()
        ],
        "limits": {
            "max_header_bytes": operator_configuration.limits.header_bytes,
            "max_body_bytes": operator_configuration.limits.body_bytes,
            "header_timeout_ms": operator_configuration.limits.header_timeout_s
            * _MS_PER_S,
            "idle_timeout_ms": operator_configuration.limits.idle_timeout_s
            * _MS_PER_S,
        },
    }
    if operator_configuration.accounts is not None:
        document["tenants"] = list(accounts.values())
    return json.dumps(document).encode()


def _route(route: routing_model.Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.prefix,
        "kind": _ROUTE_KINDS[route.kind],
        "timeout_ms": route.timeout_s * _MS_PER_S,
        "target_latency_ms": route.objective_s * _MS_PER_S,
        "gap_target_ms": route.gap_objective_s * _MS_PER_S,
        "priority": route.priority,
        "traffic_split": [
            {"service": choice.service, "weight": choice.weight}
            for choice in route.choices
        ],
        "max_attempts": route.max_attempts,
        "public": route.is_public,
        "resume_streams": route.is_resumable,
    }


def _service(service: routing_model.ServiceSpec) -> dict[str, Any]:
    document: dict[str, Any] = {"name": service.name, "health_path": "/health"}
    if service.cold_rate:
        document["cold_s"] = service.cold_s
        document["cold_per_s"] = service.cold_rate
    spec = service.engine
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
                    "name": engine_model.name,
                    "size": engine_model.span,
                    "share": engine_model.share,
                    "pace": engine_model.pace,
                    "load_s": engine_model.load_s,
                    "warm_s": engine_model.warm_s,
                }
                for engine_model in spec.models
            ],
        }
    return document
