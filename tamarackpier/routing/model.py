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
    """What may be repeated on a route.

    `IDEMPOTENT` requests may run more than once, `ONCE` requests run at most
    once. A `STREAM` is answered by numbered events and may run again only
    where the route lets it resume.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class ServiceChoice:
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other choices.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Unique name.
        host: Host that the caller names.
        prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        choices: Services that take its requests, at least one.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Latency objective of the answer, or of the first event.
        pause_objective_s: Longest pause between events that is on time.
        priority: 0 is the most urgent.
        max_attempts: Most engines that one request is sent to.
        is_public: Whether requests need no key.
        is_resumable: Whether a stream may go on at another engine.
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
    """A model and what a replica of it takes.

    Attributes:
        name: The model.
        span: Engines in a replica.
        share: Its part of all work, at the start.
        pace: Factor on all times of its replicas.
        load_s: Time to load its weights from the weight store.
        warm_s: Time to join with weights that are on the host.
    """

    name: str
    span: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """How the engines of a service work.

    Attributes:
        models: What they can serve.
        slots: Requests that a replica runs at once.
        stride: Token steps in one pass.
        step_s: Time of a token step.
        step_s_per_sequence: What each running request adds to a step.
        read_tokens_per_s: Speed of reading prompts.
        loads_per_s: Loads that may begin each second, over all engines.
        loads_at_once: Loads that do not slow each other down.
        usual_answer_tokens: Mean length of an answer.
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
        """Returns a model by name, or None."""
        for each in self.models:
            if each.name == name:
                return each
        return None


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service that routes lead to.

    Attributes:
        name: Unique name.
        engine: How its engines serve models; None for a plain service.
    """

    name: str
    engine: EngineSpec | None


@dataclasses.dataclass(frozen=True)
class Limits:
    """What callers may send and how long they may take.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body.
        header_timeout_s: Longest wait for a head to arrive.
        idle_timeout_s: Longest time that a connection stays idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: What engines know it by.
        priority: Goes before the route's; None where it has none.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
        accounts: Accounts by key; None where requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: Limits
    accounts: Mapping[str, Account] | None
