"""Fixtures for tests of hosted instances."""

import dataclasses
import json

from tamarackpier.fleet import model
from tamarackpier.platform import interfaces
from tamarackpier.routing import model as routing_model

MODELS = (
    routing_model.ModelSpec("large", 4, 0.57, 1.0, 16.0, 1.6),
    routing_model.ModelSpec("small", 3, 0.43, 0.6, 12.0, 1.1),
)
SPEC = routing_model.EngineSpec(
    MODELS, 13, 7, 0.00595, 0.000089, 50_700.0, 4.5, 6, 178.0
)


def record(engine_id: str = "e1", **changes) -> model.EngineRecord:
    """Returns the record of an engine that is in no replica."""
    values = {
        "service": "drafts",
        "address": "10.0.0.1:80",
        "availability_zone": "zone-a",
        "domain": "d0",
        "slots": 13,
        "is_leaving": False,
        "incarnation": 1,
        "model": "",
        "staged": (),
        "membership": None,
    }
    return model.EngineRecord(engine_id, **(values | changes))


def replica_records(
    name: str = "r1",
    fence: int = 1,
    span: int = 4,
    state: model.MemberState = model.MemberState.OPEN,
    model_name: str = "large",
) -> list[model.EngineRecord]:
    """Returns the records of all members of a replica, lead first."""
    key = model.ReplicaKey(name, fence)
    return [
        record(
            f"{name}-{rank}",
            model=model_name,
            staged=(model_name,),
            membership=model.Membership(
                key, rank, state if rank == 0 else model.MemberState.READY
            ),
        )
        for rank in range(span)
    ]


def services() -> dict[str, routing_model.ServiceSpec]:
    """Returns a model service and a service without models."""
    return {
        "drafts": routing_model.ServiceSpec("drafts", SPEC),
        "orders": routing_model.ServiceSpec("orders", None),
    }


def route(**changes) -> routing_model.Route:
    """Returns a streaming route."""
    values = {
        "name": "r",
        "host": "a.example",
        "prefix": "/draft/",
        "kind": routing_model.RouteKind.STREAM,
        "choices": (routing_model.ServiceChoice("drafts", 1.0),),
        "timeout_s": 8.0,
        "objective_s": 0.3,
        "gap_objective_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": True,
    }
    return routing_model.Route(**(values | changes))


def configuration(
    version: int = 1, routes: tuple[routing_model.Route, ...] = (), **changes
) -> routing_model.Configuration:
    """Returns a configuration with one route and one API key."""
    values = {
        "routes": routes or (route(),),
        "services": services(),
        "limits": routing_model.Limits(),
        "accounts": {"key-1": routing_model.Account("clerks", 1)},
    }
    return routing_model.Configuration(version, **(values | changes))


def change(key: str, value: object, version: int = 1) -> interfaces.Change:
    """Returns a row change as a watch returns it."""
    data = None if value is None else json.dumps(value).encode()
    return interfaces.Change(key, version, data)


def with_state(
    engine: model.EngineRecord, state: model.MemberState
) -> model.EngineRecord:
    """Returns an engine record with another membership state."""
    membership = dataclasses.replace(engine.membership, state=state)
    return dataclasses.replace(engine, membership=membership)
