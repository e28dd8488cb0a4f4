"""A model engine in memory, on a clock that the caller passes in.

It keeps the published protocol: orders with fencing numbers, reports, and
text that depends only on the request, so that anybody can tell whether an
answer is whole.
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

CRASH_MARKER = "crash-the-engine"
STATUS_CONFLICT = 409
STATUS_FULL = 429
_WORD_DIGITS = 6
_PAUSE_POLL_S = 0.05
_PREFIX_CHARACTERS = 60
_CACHED_SHARE = 0.2
_KEPT_ORDERS = 4


class Health(enum.Enum):
    """How an engine's machine is."""

    UP = "up"
    CRASHED = "crashed"
    PAUSED = "paused"


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """What an engine is.

    Attributes:
        instance_id: Its instance.
        domain: Its fabric domain.
        availability_zone: Its zone.
        checks_fencing: Whether it refuses old fencing numbers.
        slots: Requests it runs at once.
        join_s: Time to form a group once weights are there.
    """

    instance_id: str
    domain: str
    availability_zone: str
    checks_fencing: bool = True
    slots: int = 16
    join_s: float = 0.2


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """A call as an engine gets it.

    Attributes:
        request_id: Names the call.
        is_chat: Whether it is a chat call.
        content: Messages or prompt.
        max_tokens: Tokens to generate.
        after: Pieces that the caller has already.
    """

    request_id: str
    is_chat: bool
    content: Any
    max_tokens: int
    after: int


class WeightStore:
    """A store that carries a fixed number of loads at once.

    Attributes:
        load_s: Time of one load.
        parallel_loads: Loads carried at once; others queue.
    """

    def __init__(self, load_s: float, parallel_loads: int) -> None:
        self.load_s = load_s
        self.lanes = [float("-inf")] * parallel_loads

    def load(self, now: float) -> float:
        """Books a load and returns when it ends."""
        lane = min(range(len(self.lanes)), key=self.lanes.__getitem__)
        self.lanes[lane] = max(now, self.lanes[lane]) + self.load_s
        return self.lanes[lane]


class FakeEngine:
    """One engine.

    Attributes:
        spec: What it is.
        health: How its machine is.
        boot: Counts its starts.
        state: What it is doing.
        replica_id: Replica it is in.
        fence: Fencing number of the last order it took.
        members: Members of its replica.
        model: Model it holds.
        version: Version of that model.
        running: Requests it runs.
        orders: The last orders it took.
        prefixes: Prompt prefixes it remembers, the latest last.
        is_silent: Whether its open streams send nothing any more.
        slowdown: Factor on the time between tokens.
        refused_orders: Orders refused for an old fencing number.
        changed_at: When it was last crashed, paused, restarted or moved.
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
            maxlen=_KEPT_ORDERS
        )
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._loaded_at = float("-inf")
        self._ready_at = float("-inf")

    def crash(self, now: float = 0.0) -> None:
        """Stops the machine; it forgets everything."""
        self.health = Health.CRASHED
        self.changed_at = now
        self._reset()

    def pause(self, now: float = 0.0) -> None:
        """Freezes the machine; it forgets nothing."""
        self.health = Health.PAUSED
        self.changed_at = now

    def restart(self, now: float = 0.0) -> None:
        """Brings a crashed or paused machine back."""
        self.changed_at = now
        if self.health is Health.CRASHED:
            self.boot += 1
        self.health = Health.UP

    def order(self, order: model.Order, now: float) -> bool:
        """Takes an order; returns whether it was not refused."""
        if order.fence < self.fence and self.spec.checks_fencing:
            self.refused_orders += 1
            return False
        if self._is_done(order):
            return True
        self.changed_at = now
        self.fence = order.fence
        self.orders.append(order)
        if order.kind is model.OrderKind.RELEASE:
            self._leave_replica()
        else:
            self._hold(order.model, order.version, now)
            self._leave_replica()
        if order.kind is model.OrderKind.JOIN:
            self.replica_id = order.replica_id
            self.members = order.members
            self._ready_at = max(now, self._loaded_at) + self.spec.join_s
        return True

    def _is_done(self, order: model.Order) -> bool:
        """Returns whether an order was taken before; it is idempotent."""
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
        """Returns what the engine says of itself."""
        self._advance(now)
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
        """Returns whether it works in a replica with a fencing number."""
        self._advance(now)
        return (
            self.health is Health.UP
            and self.state is model.EngineState.READY
            and self.replica_id == replica_id
            and self.fence == fence
        )

    def _hold(self, name: str, version: str, now: float) -> None:
        if (self.model, self.version) == (name, version):
            return
        self.model, self.version = name, version
        self._loaded_at = self.weights.load(now)

    def _leave_replica(self) -> None:
        self.replica_id = ""
        self.members = ()

    def _advance(self, now: float) -> None:
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
    """Engines that can see each other, and generate as groups.

    Attributes:
        engines: The engines by instance.
        token_s: Time between two tokens.
        first_token_s: Time to the first token without a cached prefix.
        load_slowdown: How much longer a token takes with all slots in use.
        cached_prefixes: Prefixes that each lead remembers; 0 for none.
        prefix_hits: Calls whose prefix was remembered.
        prefix_misses: Calls whose prefix was not.
        cancelled: Requests that nobody waits for any more.
        on_crash: Called when a request crashed a lead.
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

    def is_whole(self, lead: FakeEngine, now: float) -> bool:
        """Returns whether a lead's group can compute."""
        return bool(lead.replica_id) and all(
            member in self.engines
            and self.engines[member].is_ready(lead.replica_id, lead.fence, now)
            for member in lead.members
        )

    def refusal_status(
        self, lead: FakeEngine, replica_id: str, fence: int, now: float
    ) -> int:
        """Returns the HTTP status that refuses a call, or 0.

        An engine that ignores fencing numbers takes any call that its group
        can run.
        """
        is_right = lead.replica_id == replica_id and lead.fence == fence
        is_right = is_right or not lead.spec.checks_fencing
        if not is_right or not self.is_whole(lead, now):
            return STATUS_CONFLICT
        if lead.running >= lead.spec.slots:
            return STATUS_FULL
        return 0

    async def generate(
        self,
        lead: FakeEngine,
        job: GenerationRequest,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        """Yields the pieces of an answer.

        Raises:
            ConnectionResetError: The group broke or nobody waits.
        """
        boot, fence = lead.boot, lead.fence
        lead.running += 1
        try:
            async for piece in self._pieces(lead, job, fence, clock):
                yield piece
        finally:
            if lead.boot == boot and lead.running > 0:
                lead.running -= 1
            self.cancelled.discard(job.request_id)

    def _first_token_s(self, lead: FakeEngine, job: GenerationRequest) -> float:
        """Returns the time to the first token, and remembers the prefix."""
        share = lead.running / lead.spec.slots
        pace = (1.0 + self.load_slowdown * share) * lead.slowdown
        if not self.cached_prefixes:
            return self.first_token_s * pace
        prefix = json.dumps(job.content)[:_PREFIX_CHARACTERS]
        if prefix in lead.prefixes:
            lead.prefixes.move_to_end(prefix)
            self.prefix_hits += 1
            return self.first_token_s * pace * _CACHED_SHARE
        self.prefix_misses += 1
        lead.prefixes[prefix] = None
        while len(lead.prefixes) > self.cached_prefixes:
            lead.prefixes.popitem(last=False)
        return self.first_token_s * pace

    async def _pieces(
        self,
        lead: FakeEngine,
        job: GenerationRequest,
        fence: int,
        clock: Callable[[], float],
    ) -> AsyncIterator[bytes]:
        seed = text_seed(job.content)
        is_deadly = CRASH_MARKER in json.dumps(job.content)
        due = clock() + self._first_token_s(lead, job)
        for index in range(job.after, job.max_tokens):
            await asyncio.sleep(max(0.0, due - clock()))
            share = lead.running / lead.spec.slots
            pace = 1.0 + self.load_slowdown * share
            due += self.token_s * pace * lead.slowdown
            while lead.is_silent or lead.health is Health.PAUSED:
                await asyncio.sleep(_PAUSE_POLL_S)
            if is_deadly and index >= 1:
                lead.crash(clock())
                self.on_crash(lead)
            if job.request_id in self.cancelled:
                raise ConnectionResetError("cancelled")
            if lead.fence != fence or not self.is_whole(lead, clock()):
                raise ConnectionResetError("the replica broke")
            yield encode_piece(job, index, token_text(seed, index))
        yield b"id: %d\ndata: [DONE]\n\n" % job.max_tokens


def encode_piece(job: GenerationRequest, index: int, text: str) -> bytes:
    """Returns one piece of an answer as a server-sent event."""
    finish = "length" if index == job.max_tokens - 1 else None
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if job.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    document = {
        "id": job.request_id,
        "object": "chat.completion.chunk" if job.is_chat else "text_completion",
        "choices": [choice],
    }
    return b"id: %d\ndata: %s\n\n" % (index, json.dumps(document).encode())


def token_text(seed: bytes, index: int) -> str:
    """Returns the text of one token."""
    hashed = hashlib.blake2b(seed + index.to_bytes(4), digest_size=8)
    return hashed.hexdigest()[:_WORD_DIGITS] + " "


def text_seed(content: Any) -> bytes:
    """Returns what the text of an answer depends on."""
    return hashlib.blake2b(json.dumps(content).encode()).digest()


def expected_text(content: Any, max_tokens: int) -> str:
    """Returns the whole answer to a request."""
    seed = text_seed(content)
    return "".join(token_text(seed, index) for index in range(max_tokens))
