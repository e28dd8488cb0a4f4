"""Planned work on real entry processes, with silences of engines.

Nothing unplanned happens in this phase of a run: operators change the
configuration, reload and stop instances, and healthy engines stand still for
about a second and go on. So each whole request must get a complete answer or a
status, or its own time must be over. What ends otherwise is a violation.
"""

import asyncio
import dataclasses
import itertools
import math
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from tamarackpier import registry
from tamarackpier.routing import model as routing_model
from tests import hosted_fixtures, process_fixtures

__all__ = ["WORK", "Phase"]

SILENCE_S = (0.8, 1.3)  # Least and greatest time for which an engine is silent.
SERIES_GAP_S = (0.1, 0.6)  # The same between two steps of a series.
WORK_GAP_S = (0.2, 1.2)  # The same between starts of planned work.
PLAIN_ANSWER_S = 0.3
EVENT_COUNT = 60  # A stream takes 0.6 s.
CALLERS_PER_INSTANCE = 5
THINK_TIME_S = 0.1
# Time after which an instance is taken to go by a configuration.
ADOPTION_S = 3.0
# Time after the deadline within which an instance must have answered.
ANSWER_MARGIN_S = 2.0
CLOCK_MARGIN_S = 0.1
NEAR_S = 3.0  # Time before a failure from which planned work is printed.
# A stop cuts streams at 0.9 of this, which must not explain a cut: no request
# is accepted after 0.375 of it, and streams take 0.6 s and a few silences.
STOP_GRACE_S = 8.0
SPARE_KEY = "key-2"

Work = Callable[["Phase"], Awaitable[None]]
WORK: registry.Registry[Work] = registry.Registry("planned work")

_STREAM = hosted_fixtures.route(timeout_s=6.0)
_SHIFTED_CHOICES = (
    routing_model.ServiceChoice("drafts", 1.0),
    routing_model.ServiceChoice("others", 1.0),
)
_PLAIN = dataclasses.replace(
    _STREAM,
    name="plain",
    prefix="/plain/",
    kind=routing_model.RouteKind.IDEMPOTENT,
    choices=process_fixtures.ORDER_CHOICES,
)
ROUTES = (
    *process_fixtures.ROUTES,
    _PLAIN,
    dataclasses.replace(_PLAIN, name="extra", prefix="/extra/"),
    dataclasses.replace(
        _STREAM, name="fixed", prefix="/fixed/", is_resumable=False
    ),
    dataclasses.replace(
        _STREAM, name="single", prefix="/single/", max_attempts=1
    ),
    dataclasses.replace(
        _STREAM, name="shift", prefix="/shift/", choices=_SHIFTED_CHOICES
    ),
    dataclasses.replace(
        _STREAM,
        name="shift-fixed",
        prefix="/shift-fixed/",
        choices=_SHIFTED_CHOICES,
        is_resumable=False,
    ),
)
SERVICES = {
    **process_fixtures.SERVICES,
    "others": routing_model.ServiceSpec(
        "others",
        dataclasses.replace(
            process_fixtures.SPEC, models=process_fixtures.SPEC.models[:1]
        ),
    ),
    "plain-others": routing_model.ServiceSpec("plain-others", None),
}
PATHS = (
    *("/draft/", "/order/", "/plain/", "/fixed/", "/single/"),
    *("/shift/", "/shift-fixed/", "/extra/"),
)
PLAIN_PATHS = ("/order/", "/plain/", "/extra/")


class Phase:
    """The phase of a run in which all that happens is planned.

    Attributes:
        soak: The run.
        rng: Draws the planned work, apart from the faults of the run.
        routes: Routes by name, as in the newest configuration.
        limits: Limits in the newest configuration.
        accounts: Accounts by key in the newest configuration.
        work: Time, in seconds on the monotonic clock, and description of each
            step of planned work.
        timeouts: Time of each change of the configuration and the time-outs of
            routes, by name, from then on.
        stops: Time of the last planned stop of an instance, by its ID.
        is_over: Whether callers begin no more requests.
    """

    def __init__(self, soak: Any) -> None:
        self.soak = soak
        self.rng = random.Random(f"{soak.seed}/planned")
        self.routes = {route.name: route for route in ROUTES}
        self.limits = routing_model.Limits()
        self.accounts = {"key-1": routing_model.Account("clerks", 1)}
        self.work: list[tuple[float, str]] = []
        self.timeouts: list[tuple[float, dict[str, float]]] = []
        self.stops: dict[str, float] = {}
        self.is_over = False

    def note(self, text: str) -> None:
        """Notes a step of planned work."""
        self.work.append((time.monotonic(), text))

    def configure(self, text: str) -> None:
        """Writes a new version of the configuration."""
        self.note(text)
        timeouts = {
            route.name: self.routes.get(route.name, route).timeout_s
            for route in ROUTES
        }
        self.timeouts.append((time.monotonic(), timeouts))
        self.soak.configure(
            tuple(self.routes.values()),
            services=SERVICES,
            limits=self.limits,
            accounts=self.accounts,
        )

    def change_route(self, name: str, **changes: Any) -> None:
        """Writes a version in which a route has other fields."""
        self.routes[name] = dataclasses.replace(self.routes[name], **changes)
        self.configure(f"route {name}: {changes}")

    async def run(self, seconds: float) -> None:
        """Plays the phase.

        Args:
            seconds: Time in which planned work is begun, in seconds.
        """
        await self._add_engines()
        self.configure("services and routes added")
        self._reload(STOP_GRACE_S)
        await asyncio.sleep(ADOPTION_S)
        self.soak.platform.plain_answer_s = PLAIN_ANSWER_S
        callers = [
            asyncio.ensure_future(self._run_caller(index))
            for index in range(CALLERS_PER_INSTANCE * len(self.soak.entries))
        ]
        ends_at = time.monotonic() + seconds
        running = []
        while time.monotonic() < ends_at:
            name = self.rng.choice(sorted(WORK))
            self.soak.report.faults[name] += 1
            running.append(asyncio.ensure_future(WORK.get(name)(self)))
            await asyncio.sleep(self.rng.uniform(*WORK_GAP_S))
        await asyncio.gather(*running)
        self.is_over = True
        await asyncio.gather(*callers)
        self.soak.platform.plain_answer_s = 0.0
        self._reload(process_fixtures.STOP_GRACE_S)

    def _reload(self, stop_grace_s: float) -> None:
        for entry in self.soak.entries:
            entry.write_settings(stop_grace_s)
            if entry.handles_sighup():
                entry.signal(signal.SIGHUP)

    async def _add_engines(self) -> None:
        for domain in (2, 3):
            for _ in range(4):
                await self.soak.add_engine("others", domain)
        for _ in range(2):
            await self.soak.add_engine("plain-others", None)

    async def _run_caller(self, index: int) -> None:
        rng = random.Random(f"{self.soak.seed}/planned/{index}")
        while not self.is_over:
            entry = await self.soak.resolve_entry(rng)
            for _ in range(rng.randrange(1, 12)):
                await asyncio.sleep(rng.uniform(0, 2 * THINK_TIME_S))
                key = rng.choice(("key-1", SPARE_KEY))
                path = rng.choice(PATHS)
                if self.is_over or not await self._send(entry, path, key):
                    break

    async def _send(self, entry: Any, path: str, key: str) -> bool:
        """Sends one request; returns whether it got a complete answer."""
        soak = self.soak
        request_id = f"{soak.seed:x}-p{next(soak.request_numbers):x}"
        headers = process_fixtures.headers(request_id, EVENT_COUNT)
        if path == "/extra/":
            headers["Authorization"] = f"Token {key}"
        if path == "/order/":
            soak.order_ids.add(request_id)
        kind = f"planned {path.strip('/')}"
        status = 0
        sent_at = time.monotonic()
        try:
            # Past the link: a refused connection must show as such.
            async with soak.client.post(
                f"http://{entry.caller_address}{path}1",
                headers=headers,
                data=b"{}",
                timeout=aiohttp.ClientTimeout(
                    total=process_fixtures.REQUEST_TIMEOUT_S + ANSWER_MARGIN_S
                ),
            ) as response:
                status = response.status
                body = await response.read()
        except aiohttp.ClientConnectorError:
            soak.report.outcomes[f"{kind} not connected"] += 1
            return False
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            name = type(error).__name__
            soak.report.outcomes[f"{kind} {status} {name}"] += 1
            self.check_end(entry, path, request_id, status, sent_at, error)
            return False
        soak.report.outcomes[f"{kind} {status}"] += 1
        expected = b"ran " + request_id.encode()
        if path not in PLAIN_PATHS:
            expected = process_fixtures.draft(EVENT_COUNT)
        # The spare key, and the extra route, come and go.
        if path != "/extra/" or status not in (401, 403, 404):
            soak.check_answer(
                "order" if path == "/order/" else kind,
                request_id,
                response,
                body,
                expected,
            )
        return status == 200

    def check_end(
        self,
        entry: Any,
        path: str,
        request_id: str,
        status: int,
        sent_at: float,
        error: Exception,
    ) -> None:
        """Checks a request whose connection ended before its answer did."""
        now = time.monotonic()
        is_own_time_over = now - sent_at >= self.own_time_s(path, sent_at)
        if is_own_time_over and not isinstance(error, TimeoutError):
            self.soak.report.outcomes["planned own time over"] += 1
            return
        near = [
            f"{at - now:+.2f} s {text}"
            for at, text in self.work
            if sent_at - NEAR_S <= at
        ]
        stalls = [
            round(at - now, 2)
            for at in self.soak.report.stalls
            if sent_at - NEAR_S <= at
        ]
        stopped_at = self.stops.get(entry.id, -math.inf)
        self.soak.add_violation(
            f"{request_id} ({path}, {entry.id}) got neither an answer nor a"
            f" refusal: status {status}, {error!r} at {time.time():.3f},"
            f" {now - sent_at:.2f} s after it was sent and"
            f" {now - stopped_at:.2f} s after the last stop of its instance;"
            " ran at"
            f" {self.soak.platform.ran.get(request_id, [])}; planned work:"
            f" {near}; stalls: {stalls}"
        )

    def own_time_s(self, path: str, sent_at: float) -> float:
        """Returns the time after which a request may end unanswered.

        Args:
            path: Path of the request's route.
            sent_at: Time when it was sent, on the monotonic clock.
        """
        name = next(route.name for route in ROUTES if route.prefix == path)
        in_force = [process_fixtures.REQUEST_TIMEOUT_S]
        for (begins_at, timeouts), (ends_at, _) in itertools.pairwise(
            [*self.timeouts, (math.inf, {})]
        ):
            if begins_at <= sent_at <= ends_at + ADOPTION_S:
                in_force.append(timeouts[name])
        return min(in_force) - CLOCK_MARGIN_S

    def engines(self, *ranks: int) -> list[str]:
        """Returns the engines with one of some ranks in their replicas."""
        return sorted(
            name
            for name, engine in self.soak.platform.fabric.engines.items()
            if engine.is_alive
            and engine.membership is not None
            and engine.membership.rank in ranks
        )

    def plain_engines(self) -> list[str]:
        """Returns the engines of plain services."""
        return sorted(
            name
            for name, engine in self.soak.platform.fabric.engines.items()
            if engine.is_alive and not engine.record.domain
        )

    def silence(self, name: str) -> None:
        """Lets an engine stand still for about a second."""
        duration_s = self.rng.uniform(*SILENCE_S)
        self.note(f"{name} silent for {duration_s:.2f} s")
        self.soak.platform.silence(name, duration_s)

    async def pause(self) -> None:
        """Waits until the next step of a series."""
        await asyncio.sleep(self.rng.uniform(*SERIES_GAP_S))


def _some(phase: Phase, names: list[str]) -> list[str]:
    return phase.rng.sample(names, min(len(names), phase.rng.choice((1, 2, 4))))


@WORK.register("silent_leads")
async def _silent_leads(phase: Phase) -> None:
    for name in _some(phase, phase.engines(0)):
        phase.silence(name)


@WORK.register("silent_members")
async def _silent_members(phase: Phase) -> None:
    for name in _some(phase, phase.engines(1, 2, 3)):
        phase.silence(name)


@WORK.register("silent_plain")
async def _silent_plain(phase: Phase) -> None:
    for name in _some(phase, phase.plain_engines()):
        phase.silence(name)


@WORK.register("silent_all")
async def _silent_all(phase: Phase) -> None:
    for name in phase.engines(0, 1, 2, 3) + phase.plain_engines():
        phase.silence(name)


@WORK.register("silent_in_turn")
async def _silent_in_turn(phase: Phase) -> None:
    for name in _some(phase, phase.engines(0)) + _some(
        phase, phase.engines(1, 2, 3) + phase.plain_engines()
    ):
        phase.silence(name)
        await phase.pause()


@WORK.register("move_route")
async def _move_route(phase: Phase) -> None:
    name = phase.rng.choice(("shift", "shift-fixed", "plain"))
    home = next(route.choices for route in ROUTES if route.name == name)
    service = {"plain": "plain-others"}.get(name, "others")
    for _ in range(phase.rng.choice((1, 3))):
        away = (routing_model.ServiceChoice(service, 1.0),)
        phase.change_route(name, choices=away)
        await phase.pause()
        phase.change_route(name, choices=home)
        await phase.pause()


@WORK.register("change_weights")
async def _change_weights(phase: Phase) -> None:
    name = phase.rng.choice(("shift", "shift-fixed"))
    for share in (0.05, 0.95, 0.5):
        choices = (
            routing_model.ServiceChoice("drafts", share),
            routing_model.ServiceChoice("others", 1 - share),
        )
        phase.change_route(name, choices=choices)
        await phase.pause()


@WORK.register("change_timeouts")
async def _change_timeouts(phase: Phase) -> None:
    name = phase.rng.choice(("r", "o", "fixed", "single", "shift", "plain"))
    for timeout_s in (3.0, 9.0, 6.0):
        phase.change_route(name, timeout_s=timeout_s)
        await phase.pause()


@WORK.register("change_attempts")
async def _change_attempts(phase: Phase) -> None:
    for name in ("r", "shift"):
        for fields in (
            {"max_attempts": 1},
            {"max_attempts": 2, "is_resumable": False},
            {"is_resumable": True},
        ):
            phase.change_route(name, **fields)
            await phase.pause()


@WORK.register("change_accounts")
async def _change_accounts(phase: Phase) -> None:
    for priority in (0, 2, 1):
        phase.accounts = {"key-1": routing_model.Account("clerks", priority)}
        if priority:
            phase.accounts[SPARE_KEY] = routing_model.Account("guests", 2)
        phase.configure(f"keys {sorted(phase.accounts)}, priority {priority}")
        await phase.pause()


@WORK.register("change_limits")
async def _change_limits(phase: Phase) -> None:
    for limits in (
        routing_model.Limits(8_192, 65_536, 2.0, phase.rng.uniform(0.3, 2.0)),
        routing_model.Limits(idle_timeout_s=phase.rng.uniform(2.0, 20.0)),
        routing_model.Limits(),
    ):
        phase.limits = limits
        phase.configure(f"{limits}")
        await phase.pause()


@WORK.register("extra_route")
async def _extra_route(phase: Phase) -> None:
    for _ in range(phase.rng.choice((1, 3))):
        phase.routes.pop("extra", None)
        phase.configure("route extra removed")
        await phase.pause()
        phase.routes |= {
            route.name: route for route in ROUTES if route.name == "extra"
        }
        phase.configure("route extra added")
        await phase.pause()


@WORK.register("planned_reload")
async def _planned_reload(phase: Phase) -> None:
    for entry in _some(phase, phase.soak.entries):
        if entry.handles_sighup():
            phase.note(f"SIGHUP to {entry.id}")
            entry.signal(signal.SIGHUP)


@WORK.register("planned_stop")
async def _planned_stop(phase: Phase) -> None:
    entry = phase.rng.choice(phase.soak.entries)
    is_starting = time.monotonic() - phase.stops.get(entry.id, -math.inf) < 6.0
    if is_starting or not entry.handles_sighup():
        return
    phase.note(f"SIGTERM to {entry.id}")
    phase.stops[entry.id] = time.monotonic()
    entry.signal(signal.SIGTERM)
