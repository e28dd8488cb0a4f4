"""A fake model engine in memory, on a clock that the caller passes in.

It implements the published protocol: orders with fencing numbers and reports.
The text that it generates depends only on the request, so that a test can
verify that an answer is complete.
"""

import asyncio
import collections
import dataclasses
import enum
import hashlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from tamarackpier.replica import model

__all__ = [
    "EngineSpec",
    "FakeEngine",
    "EngineCluster",
    "GenerationRequest",
    "Health",
    "WeightStore",
    "expected_text",
    "token_text",
]

CRASH_MARKER = "crash-the-engine"  # A request that contains it crashes a lead.
# A request that contains it crashes a lead before the lead answers.
EARLY_CRASH_MARKER = "crash-the-engine-at-once"
STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
_TOKEN_DIGITS = 6
_PAUSE_POLL_S = 0.05
_PREFIX_CHARACTERS = 60
# Factor on the time to the first token when the prompt prefix is cached.
_CACHED_PREFIX_FACTOR = 0.2
_MAX_ORDER_HISTORY = 4


class Health(enum.Enum):
    """State of the machine that an engine runs on."""

    UP = "up"
    CRASHED = "crashed"
    PAUSED = "paused"


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Fixed properties of an engine.

    Attributes:
        instance_id: Instance that the engine runs on.
        domain: Fabric domain of the instance.
        availability_zone: Availability zone of the instance.
        checks_fencing: Whether the engine refuses orders and requests with an
            outdated fencing number.
        slots: Maximum number of requests in flight.
        join_s: Time to join a replica once the weights are loaded, in seconds.
    """

    instance_id: str
    domain: str
    availability_zone: str
    checks_fencing: bool = True
    slots: int = 16
    join_s: float = 0.2


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """A request to generate text, as an engine receives it.

    Attributes:
        request_id: Unique ID of the request.
        is_chat: Whether it is a chat request.
        content: Messages of a chat request, otherwise the prompt.
        max_tokens: Number of tokens to generate.
        after: Number of pieces that were already delivered.
    """

    request_id: str
    is_chat: bool
    content: Any
    max_tokens: int
    after: int


class WeightStore:
    """A weight store that serves a fixed number of loads concurrently.

    Further loads queue.

    Attributes:
        load_s: Duration of one load, in seconds.
        lane_free_at: Time from which each lane can start another load.
    """

    def __init__(self, load_s: float, parallel_loads: int) -> None:
        self.load_s = load_s
        self.lane_free_at = [float("-inf")] * parallel_loads

    def load(self, now: float) -> float:
        """Schedules a load and returns the time at which it ends."""
        lane = min(
            range(len(self.lane_free_at)), key=self.lane_free_at.__getitem__
        )
        self.lane_free_at[lane] = (
            max(now, self.lane_free_at[lane]) + self.load_s
        )
        return self.lane_free_at[lane]


class FakeEngine:
    """A fake engine.

    Attributes:
        spec: Fixed properties of the engine.
        weights: Store from which the engine loads weights.
        health: State of the engine's machine.
        boot: Number of restarts after a crash.
        state: State that the engine reports.
        replica_id: Replica that the engine belongs to; empty if none.
        fence: Fencing number of the last order that the engine accepted.
        members: Instances of its replica, lead first.
        model: Loaded model; empty if none.
        version: Version of the loaded model.
        running: Number of requests in flight.
        orders: The most recently accepted orders, oldest first.
        prefixes: Cached prompt prefixes, least recently used first.
        is_silent: Whether its open streams have stopped sending.
        slowdown: Factor on the times to the first token and between tokens.
        refused_orders: Number of orders refused for an outdated fencing
            number.
        changed_at: Time at which the engine was last crashed, paused,
            restarted, or changed by an order.
    """

    def __init__(self, spec: EngineSpec, weights: WeightStore) -> None:
        self.spec = spec
        self.weights = weights
        self.health = Health.UP
        self.boot = 0
        self.is_silent = False
        self.slowdown = 1.0
        self.refused_orders = 0
        self.changed_at = float("-inf")
        self._reset()

    def _reset(self) -> None:
        self.state = model.EngineState.IDLE
        self.replica_id = ""
        self.fence = 0
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.version = ""
        self.running = 0
        self.orders: collections.deque[model.Order] = collections.deque(
            maxlen=_MAX_ORDER_HISTORY
        )
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._loaded_at = float("-inf")
        self._ready_at = float("-inf")

    def crash(self, now: float = 0.0) -> None:
        """Crashes the machine; the engine loses all state."""
        self.health = Health.CRASHED
        self.changed_at = now
        self._reset()

    def pause(self, now: float = 0.0) -> None:
        """Pauses the machine; the engine keeps all state."""
        self.health = Health.PAUSED
        self.changed_at = now

    def restart(self, now: float = 0.0) -> None:
        """Restarts a crashed machine or resumes a paused one."""
        self.changed_at = now
        if self.health is Health.CRASHED:
            self.boot += 1
        self.health = Health.UP

    def order(self, order: model.Order, now: float) -> bool:
        """Carries out an order and returns whether it was accepted."""
        if order.fence < self.fence and self.spec.checks_fencing:
            self.refused_orders += 1
            return False
        if self._is_in_effect(order):
            return True
        self.changed_at = now
        self.fence = order.fence
        self.orders.append(order)
        if order.kind is model.OrderKind.RELEASE:
            self._leave_replica()
        else:
            self._load_model(order.model, order.version, now)
            self._leave_replica()
        if order.kind is model.OrderKind.JOIN:
            self.replica_id = order.replica_id
            self.members = order.members
            self._ready_at = max(now, self._loaded_at) + self.spec.join_s
        return True

    def _is_in_effect(self, order: model.Order) -> bool:
        """Returns whether an order asks for what is already in effect.

        Orders are idempotent, so a repeated one changes nothing.
        """
        return (
            self.fence == order.fence
            and self.replica_id == order.replica_id
            and self.members == order.members
            and (
                order.kind is model.OrderKind.RELEASE
                or (self.model, self.version) == (order.model, order.version)
            )
        )

    def report(self, asked_at: float, now: float) -> model.EngineReport:
        """Returns the answer to a probe that was sent at `asked_at`."""
        self._update_state(now)
        return model.EngineReport(
            self.spec.instance_id,
            f"boot-{self.boot}",
            self.state,
            self.replica_id,
            self.fence,
            self.members,
            self.model,
            self.version,
            self.running,
            self.spec.slots,
            asked_at,
        )

    def is_ready(self, replica_id: str, fence: int, now: float) -> bool:
        """Returns whether the engine is ready in a formation of a replica."""
        self._update_state(now)
        return (
            self.health is Health.UP
            and self.state is model.EngineState.READY
            and self.replica_id == replica_id
            and self.fence == fence
        )

    def _load_model(self, name: str, version: str, now: float) -> None:
        if (self.model, self.version) == (name, version):
            return
        self.model, self.version = name, version
        self._loaded_at = self.weights.load(now)

    def _leave_replica(self) -> None:
        self.replica_id = ""
        self.members = ()

    def _update_state(self, now: float) -> None:
        if self.model and now < self._loaded_at:
            self.state = model.EngineState.LOADING
        elif self.replica_id:
            is_ready = now >= self._ready_at
            self.state = (
                model.EngineState.READY
                if is_ready
                else model.EngineState.LOADING
            )
        elif self.model:
            self.state = model.EngineState.STANDBY
        else:
            self.state = model.EngineState.IDLE


class EngineCluster:
    """Engines that are connected to each other and generate as replicas.

    Attributes:
        engines: Engines by instance ID.
        token_s: Time between two tokens, in seconds.
        first_token_s: Time to the first token without a cached prefix, in
            seconds.
        load_slowdown: Relative increase of both times when all slots are in
            use.
        cached_prefixes: Maximum number of prompt prefixes that each lead
            caches; 0 disables the cache.
        prefix_hits: Number of requests whose prefix was cached.
        prefix_misses: Number of requests whose prefix was not cached.
        cancelled: IDs of requests whose callers no longer wait.
        on_crash: Called with a lead that a request has crashed.
    """

    def __init__(
        self,
        engines: dict[str, FakeEngine],
        token_s: float = 0.02,
        first_token_s: float = 0.05,
        load_slowdown: float = 0.0,
        cached_prefixes: int = 0,
    ) -> None:
        self.engines = engines
        self.load_slowdown = load_slowdown
        self.cached_prefixes = cached_prefixes
        self.prefix_hits = 0
        self.prefix_misses = 0
        self.token_s = token_s
        self.first_token_s = first_token_s
        self.cancelled: set[str] = set()
        self.on_crash: Callable[[FakeEngine], None] = lambda lead: None

    def is_replica_ready(self, lead: FakeEngine, now: float) -> bool:
        """Returns whether all members of a lead's replica are ready."""
        return bool(lead.replica_id) and all(
            member in self.engines
            and self.engines[member].is_ready(lead.replica_id, lead.fence, now)
            for member in lead.members
        )

    def refusal_status(
        self, lead: FakeEngine, replica_id: str, fence: int, now: float
    ) -> int:
        """Returns the HTTP status with which a request is refused, or 0.

        An engine that ignores fencing numbers accepts any request that its
        replica can run.
        """
        is_match = lead.replica_id == replica_id and lead.fence == fence
        is_match = is_match or not lead.spec.checks_fencing
        if not is_match or not self.is_replica_ready(lead, now):
            return STATUS_CONFLICT
        if lead.running >= lead.spec.slots:
            return STATUS_TOO_MANY_REQUESTS
        return 0

    async def generate(
        self,
        lead: FakeEngine,
        request: GenerationRequest,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        """Yields the pieces of an answer.

        Raises:
            ConnectionResetError: The replica changed or is no longer ready, or
                the request was cancelled.
        """
        boot, fence = lead.boot, lead.fence
        lead.running += 1
        try:
            async for piece in self._pieces(lead, request, fence, clock):
                yield piece
        finally:
            if lead.boot == boot and lead.running > 0:
                lead.running -= 1
            self.cancelled.discard(request.request_id)

    def _first_token_s(
        self, lead: FakeEngine, request: GenerationRequest
    ) -> float:
        """Returns the time to the first token and caches the prompt prefix."""
        utilization = lead.running / lead.spec.slots
        pace = (1.0 + self.load_slowdown * utilization) * lead.slowdown
        if not self.cached_prefixes:
            return self.first_token_s * pace
        prefix = json.dumps(request.content)[:_PREFIX_CHARACTERS]
        if prefix in lead.prefixes:
            lead.prefixes.move_to_end(prefix)
            self.prefix_hits += 1
            return self.first_token_s * pace * _CACHED_PREFIX_FACTOR
        self.prefix_misses += 1
        lead.prefixes[prefix] = None
        while len(lead.prefixes) > self.cached_prefixes:
            lead.prefixes.popitem(last=False)
        return self.first_token_s * pace

    async def _pieces(
        self,
        lead: FakeEngine,
        request: GenerationRequest,
        fence: int,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        seed = text_seed(request.content)
        crashes_lead = CRASH_MARKER in json.dumps(request.content)
        due_at = clock() + self._first_token_s(lead, request)
        for index in range(request.after, request.max_tokens):
            await asyncio.sleep(max(0.0, due_at - clock()))
            utilization = lead.running / lead.spec.slots
            pace = 1.0 + self.load_slowdown * utilization
            due_at += self.token_s * pace * lead.slowdown
            while lead.is_silent or lead.health is Health.PAUSED:
                await asyncio.sleep(_PAUSE_POLL_S)
            if crashes_lead and index >= 1:
                lead.crash(clock())
                self.on_crash(lead)
            if request.request_id in self.cancelled:
                raise ConnectionResetError("cancelled")
            if lead.fence != fence or not self.is_replica_ready(lead, clock()):
                raise ConnectionResetError(
                    "replica changed or is no longer ready"
                )
            yield encode_piece(request, index, token_text(seed, index))
        yield b"id: %d\ndata: [DONE]\n\n" % request.max_tokens


def encode_piece(request: GenerationRequest, index: int, text: str) -> bytes:
    """Returns one piece of an answer as a server-sent event.

    Args:
        request: Request that is answered.
        index: Position of the piece in the answer, from 0.
        text: Text of the token.
    """
    finish_reason = "length" if index == request.max_tokens - 1 else None
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if request.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    document = {
        "id": request.request_id,
        "object": "chat.completion.chunk"
        if request.is_chat
        else "text_completion",
        "choices": [choice],
    }
    return b"id: %d\ndata: %s\n\n" % (index, json.dumps(document).encode())


def token_text(seed: bytes, index: int) -> str:
    """Returns the text of the token at a position of an answer."""
    digest = hashlib.blake2b(seed + index.to_bytes(4), digest_size=8)
    return digest.hexdigest()[:_TOKEN_DIGITS] + " "


def text_seed(content: Any) -> bytes:
    """Returns the seed that determines the text of an answer."""
    return hashlib.blake2b(json.dumps(content).encode()).digest()


def expected_text(content: Any, max_tokens: int) -> str:
    """Returns the complete text that engines generate for a request."""
    seed = text_seed(content)
    return "".join(token_text(seed, index) for index in range(max_tokens))
