"""Fixtures shared by several test modules."""

import pathlib

from returns import result

from tamarackpier import settings
from tamarackpier.peer import membership
from tamarackpier.replica import gate, model

SAMPLES = pathlib.Path(__file__).parent.parent / "samples"


def sample_settings_text() -> str:
    """Returns the text of the sample settings file."""
    return (SAMPLES / "tamarackpierd.ini").read_text()


def sample_settings() -> settings.Settings:
    """Returns the parsed and validated sample settings."""
    return settings.from_text(sample_settings_text()).unwrap()


def failure_numbers(outcome: result.Result) -> list[int]:
    """Returns the result code numbers of all faults of a failure."""
    return [fault.code.number for fault in outcome.failure()]


def record(peer_id: str, revision: int = 1, **changes) -> membership.PeerRecord:
    """Returns the record of a peer, with fields from `changes`."""
    values = {
        "availability_zone": "zone-a",
        "region": "region-1",
        "caller_address": f"{peer_id}:1",
        "peer_address": f"{peer_id}:2",
    }
    return membership.PeerRecord(peer_id, 1, revision, **(values | changes))


def evidence(replica_id: str = "d.1", **changes) -> gate.Evidence:
    """Returns evidence of a whole replica of two members.

    Fields are taken from `changes` where given.
    """
    values = {
        "replica_id": replica_id,
        "domain": "d",
        "availability_zone": "zone-a",
        "model": "draft",
        "version": "v1",
        "fence": 7,
        "is_open": True,
        "member_count": 2,
        "lead": f"{replica_id}-lead",
        "address": f"http://{replica_id}",
        "running": 0,
        "slots": 4,
        "at": 0.0,
    }
    return gate.Evidence(**(values | changes))


def report(instance_id: str, **changes) -> model.EngineReport:
    """Returns the report of an engine that is ready in replica d.1.

    Fields are taken from `changes` where given.
    """
    values = {
        "instance_id": instance_id,
        "boot_id": "boot-0",
        "state": model.EngineState.READY,
        "replica_id": "d.1",
        "fence": 7,
        "members": ("a", "b"),
        "model": "draft",
        "version": "v1",
        "running": 0,
        "slots": 4,
        "asked_at": 0.0,
    }
    return model.EngineReport(**(values | changes))
