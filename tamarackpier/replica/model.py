"""Engine reports, orders, and the table rows of instances and replicas."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from tamarackpier.platform import interfaces

__all__ = [
    "Assignment",
    "EngineReport",
    "EngineState",
    "Order",
    "OrderKind",
    "Replica",
    "ReplicaState",
    "Target",
    "assignment_key",
    "replica_key",
    "replica_prefix",
]


class EngineState(enum.Enum):
    """State that an engine reports.

    Attributes:
        IDLE: The engine has no model and belongs to no replica.
        LOADING: The engine loads a model or joins a replica.
        STANDBY: The engine has loaded a model and belongs to no replica.
        READY: The engine is a ready member of a replica.
    """

    IDLE = "idle"
    LOADING = "loading"
    STANDBY = "standby"
    READY = "ready"


class ReplicaState(enum.Enum):
    """Whether entry instances may send new requests to a replica."""

    OPEN = "open"
    DRAINING = "draining"


class OrderKind(enum.Enum):
    """Action that an order asks of an engine."""

    JOIN = "join"
    STANDBY = "standby"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """An engine's answer to a probe.

    Attributes:
        instance_id: Instance that the engine runs on.
        boot_id: Identifier that changes whenever the engine restarts.
        state: Reported state.
        replica_id: Replica that the engine belongs to; empty if none.
        fence: Fencing number of the last order that the engine accepted.
        members: Instances of its replica, lead first.
        model: Loaded model; empty if none.
        version: Version of the loaded model.
        running: Number of requests in flight, as last counted by the
            engine.
        slots: Maximum number of requests in flight.
        asked_at: Time at which the probe was sent, in seconds on the prober's
            monotonic clock.
    """

    instance_id: str
    boot_id: str
    state: EngineState
    replica_id: str
    fence: int
    members: tuple[str, ...]
    model: str
    version: str
    running: int
    slots: int
    asked_at: float


@dataclasses.dataclass(frozen=True)
class Assignment:
    """An instance's row, which names the replica that it belongs to.

    Attributes:
        instance_id: Assigned instance.
        replica_id: Replica that the instance belongs to; empty if it is free.
        fence: Fencing number of the assignment.
        row_version: Version of the row; 0 if the row is absent.
    """

    instance_id: str
    replica_id: str = ""
    fence: int = 0
    row_version: int = 0

    def value(self) -> dict[str, Any]:
        """Returns the row's value for the table."""
        return {"replica": self.replica_id, "fence": self.fence}


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica's row.

    Attributes:
        replica_id: Identifier that is never reused.
        domain: Fabric domain of all members.
        model: Served model.
        version: Version of the model.
        members: Instances of the replica; the first is the lead, which
            receives the requests.
        fence: Fencing number of the current membership.
        state: Whether the replica accepts new requests.
        row_version: Version of the row; 0 if the row is absent.
    """

    replica_id: str
    domain: str
    model: str
    version: str
    members: tuple[str, ...]
    fence: int
    state: ReplicaState = ReplicaState.OPEN
    row_version: int = 0

    def value(self) -> dict[str, Any]:
        """Returns the row's value for the table."""
        return {
            "model": self.model,
            "version": self.version,
            "members": list(self.members),
            "fence": self.fence,
            "state": self.state.value,
        }


@dataclasses.dataclass(frozen=True)
class Target:
    """Number of replicas of one kind that a domain should have now.

    Attributes:
        model: Model to serve.
        version: Version of the model.
        span: Number of instances in each replica.
        count: Number of replicas.
    """

    model: str
    version: str
    span: int
    count: int


@dataclasses.dataclass(frozen=True)
class Order:
    """A command to one engine.

    Attributes:
        instance_id: Instance that the engine runs on.
        address: Base URL of the engine.
        kind: Requested action.
        fence: Fencing number of the order.
        replica_id: Replica to join; empty for other actions.
        members: Instances of the replica to join, lead first; empty for other
            actions.
        model: Model to load; empty for a release.
        version: Version of the model; empty for a release.
        checks_fencing: Whether the engine itself rejects orders with an older
            fencing number.
    """

    instance_id: str
    address: str
    kind: OrderKind
    fence: int
    replica_id: str = ""
    members: tuple[str, ...] = ()
    model: str = ""
    version: str = ""
    checks_fencing: bool = True


def assignment_key(instance_id: str) -> str:
    """Returns the table key of an instance's row."""
    return f"instance/{instance_id}"


def replica_prefix(domain: str) -> str:
    """Returns the common key prefix of a domain's replica rows."""
    return f"replica/{domain}/"


def replica_key(domain: str, replica_id: str) -> str:
    """Returns the table key of a replica's row."""
    return replica_prefix(domain) + replica_id


def assignment_from_row(row: interfaces.Row) -> Assignment:
    """Returns the assignment stored in an instance's row."""
    instance_id = row.key.removeprefix("instance/")
    value: Mapping[str, Any] = row.value or {}
    return Assignment(
        instance_id,
        value.get("replica", ""),
        value.get("fence", 0),
        row.version,
    )


def replica_from_row(row: interfaces.Row) -> Replica:
    """Returns the replica stored in a replica's row.

    Args:
        row: A row that is present.
    """
    _, domain, replica_id = row.key.split("/", 2)
    value: Mapping[str, Any] = row.value or {}
    return Replica(
        replica_id,
        domain,
        value["model"],
        value["version"],
        tuple(value["members"]),
        value["fence"],
        ReplicaState(value["state"]),
        row.version,
    )
