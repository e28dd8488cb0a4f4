"""The configuration: routes, services, accounts and limits."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    "Account",
    "ServiceChoice",
    "Configuration",
    "EngineSpec",
    "Limits",
    "ModelSpec",
    "Route",
    "RouteKind",
    "ServiceSpec",
]


class RouteKind(enum.Enum):
    """Retry semantics of the requests on a route.

    `IDEMPOTENT` requests may run more than once; `ONCE` requests run at most
    once. A `STREAM` request is answered by numbered events and may run again
    only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class ServiceChoice:
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the route's other choices.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Destination of the requests for one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host name in the request.
        prefix: Path prefix; begins and ends with a slash.
        kind: Retry semantics of the requests.
        choices: Services that take the requests; at least one.
        timeout_s: Maximum time that a caller waits, in seconds.
        objective_s: Latency objective of the answer, or of the first event of
            a stream, in seconds.
        gap_objective_s: Objective for the gap between two events of a stream,
            in seconds.
        priority: Priority of the requests; 0 is the most urgent.
        max_attempts: Maximum number of attempts per request that may have run
            it.
        is_public: Whether requests need no key.
        is_resumable: Whether a stream may resume at another engine.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    choices: tuple[ServiceChoice, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model, and the resources that a replica of it needs.

    Attributes:
        name: Name of the model.
        span: Number of engines in a replica.
        share: Initial share of the service's load; its minimum number of
            replicas follows from it.
        pace: Factor on all processing times of its replicas.
        load_s: Time to load the weights from the weight store, in seconds.
        warm_s: Time to join a replica with the weights already on the host, in
            seconds.
    """

    name: str
    span: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Capacity and timing of the engines of a service.

    Attributes:
        models: Models that the engines can serve.
        slots: Number of requests that a replica runs concurrently.
        stride: Number of token steps in one pass of a replica, after which it
            sends one event of each stream.
        step_s: Time of a token step, in seconds.
        step_s_per_sequence: Time that each running request adds to a token
            step, in seconds.
        prefill_tokens_per_s: Prompt tokens processed per second.
        loads_per_s: Maximum number of weight loads started per second, over
            all engines.
        loads_at_once: Number of concurrent weight loads above which they slow
            each other down.
        mean_answer_tokens: Mean length of an answer, in tokens.
    """

    models: tuple[ModelSpec, ...]
    slots: int
    stride: int
    step_s: float
    step_s_per_sequence: float
    prefill_tokens_per_s: float
    loads_per_s: float
    loads_at_once: int
    mean_answer_tokens: float

    def model(self, name: str) -> ModelSpec | None:
        """Returns the model with a name; None if there is none."""
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service that requests are routed to.

    Attributes:
        name: Unique name.
        engine: Specification of its engines; None for a plain service, whose
            engines form no replicas.
        cold_s: Time for which an engine is cold after its start, in seconds.
        cold_rate: Requests a second that a cold engine takes; 0 if its engines
            are never cold.
    """

    name: str
    engine: EngineSpec | None
    cold_s: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on the size and the timing of requests.

    Attributes:
        header_bytes: Maximum size of a request's header section, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_s: Maximum time to receive the header section, in
            seconds.
        idle_timeout_s: Maximum time that a connection stays idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Name that is sent to engines.
        priority: Priority that overrides the route's; None for the route's.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number, which rises with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on requests.
        accounts: Client accounts by the key that their requests carry; None if
            requests need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: Limits
    accounts: Mapping[str, Account] | None
