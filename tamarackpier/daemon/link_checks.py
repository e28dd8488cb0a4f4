"""Asks engines, directly and through peers, whether own links work."""

import asyncio
import random
from collections.abc import Callable

from tamarackpier import logs, metrics
from tamarackpier.daemon import carriage, linked_gateway
from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import reach as reach_lib
from tamarackpier.upstream import gateway

__all__ = ["LinkChecker"]

# Engines that a check asks if the first one does not answer at once. One lost
# packet must not decide it.
_ASKED_COUNT = 4
# Engines that are asked whether lost links work again.
_RETURN_ASKED_COUNT = 2
_ASK_TIMEOUT_S = 0.1  # 20 times the 5 ms that an answer takes.
# Time after which peers are asked too.
_PEERS_DELAY_S = 0.03
# Largest number of peers that a check asks: most may be partitioned as well.
_MAX_PEERS = 6


class LinkChecker:
    """Runs link checks when they are due.

    Attributes:
        reach: Decides by the results whether links are lost.
        fleet: Local view of the engines.
        gateway: Client for direct calls to engines.
        peers: Client for calls to engines through peers.
        metrics: Counters of this instance.
        clock: Returns the monotonic time, in seconds.
        rng: Source of the choice of engines and peers.
        on_changed: Called when links were lost, or work again.
    """

    def __init__(
        self,
        reach: reach_lib.Reach,
        fleet: fleet_view.FleetView,
        engine_gateway: gateway.Gateway,
        peers: carriage.PeerEngines,
        counts: metrics.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.reach = reach
        self.fleet = fleet
        self.gateway = engine_gateway
        self.peers = peers
        self.metrics = counts
        self.clock = clock
        self.rng = rng
        self.on_changed: Callable[[], object] = lambda: None
        self._check: asyncio.Task[None] | None = None
        self._asks_one_first = False

    def tick(self) -> None:
        """Starts a check if one is due."""
        if self.reach.is_check_due(self.clock()):
            # Probes are charged. If links work, one answer mostly shows it; if
            # a few engines are within reach, a later check asks another one.
            self._start(asks_one_first=True)

    async def confirm_links(self, since: float) -> bool:
        """Returns whether the silence of engines is not that of own links.

        If no engine answers anybody, the engines are believed to be silent.

        Args:
            since: Time at which the silent engines were asked, in seconds on
                the monotonic clock.
        """
        if self.reach.was_cut_at(since):
            return True  # Peers asked them.
        if not self.reach.is_cut:
            await asyncio.shield(self._start())
        return not self.reach.is_cut

    def close(self) -> None:
        """Ends a running check."""
        if self._check is not None:
            self._check.cancel()

    def _start(self, asks_one_first: bool = False) -> "asyncio.Task[None]":
        """Starts a check or joins the running one.

        One that asks several engines replaces one that asks a single engine.
        """
        is_running = self._check is not None and not self._check.done()
        if is_running and self._asks_one_first and not asks_one_first:
            self.close()
            is_running = False
        if self._check is None or not is_running:
            self._asks_one_first = asks_one_first
            self._check = asyncio.ensure_future(self._run(asks_one_first))
        return self._check

    async def _run(self, asks_one_first: bool) -> None:
        """Runs a check.

        Args:
            asks_one_first: Whether the answer of a single engine ends it.
        """
        is_cut = self.reach.is_cut
        engines = self.fleet.engines.values()
        targets = reach_lib.check_targets(
            [
                engine
                for engine in engines
                if engine.id not in self.fleet.silent and not engine.is_leaving
            ]
            or engines,
            _RETURN_ASKED_COUNT if is_cut else _ASKED_COUNT,
            self.rng,
        )
        started_at = self.clock()
        answered: set[str] = set()
        answered_peers: dict[str, str] = {}
        direct: list[asyncio.Future[None]] = []
        if asks_one_first and not is_cut and targets:
            # Engines of plain services turn probes away.
            targets.sort(key=lambda engine: not engine.domain)
            first = asyncio.ensure_future(self._ask(targets[0], answered))
            direct.append(first)
            try:
                await _until(lambda: False, direct, _PEERS_DELAY_S)
            except asyncio.CancelledError:
                first.cancel()
                raise
            if answered:
                ids = frozenset(answered)
                self._apply(reach_lib.LinkCheck(started_at, ids, ids, {}))
                return
        direct += [
            asyncio.ensure_future(self._ask(engine, answered))
            for engine in targets[len(direct) :]
        ]
        asked = list(direct)

        def have_most_answered() -> bool:
            return 2 * len(answered) >= len(targets)

        try:
            if is_cut:
                await _until(lambda: False, direct, _ASK_TIMEOUT_S)
            else:
                await _until(have_most_answered, direct, _PEERS_DELAY_S)
                if not have_most_answered():
                    asked += self._ask_peers(targets, answered, answered_peers)
                await _until(have_most_answered, asked, _ASK_TIMEOUT_S)
            doubtful = answered_peers.keys() - answered
            if len(doubtful) > len(answered):
                # The engines may have been silent until peers were answered.
                again: list[asyncio.Future[None]] = [
                    asyncio.ensure_future(self._ask(engine, answered))
                    for engine in targets
                    if engine.id in doubtful
                ]
                asked += again
                await _until(have_most_answered, again, _ASK_TIMEOUT_S)
        finally:
            for task in asked:
                task.cancel()
        check = reach_lib.LinkCheck(
            started_at,
            frozenset(engine.id for engine in targets),
            frozenset(answered),
            {
                engine_id: peer_id
                for engine_id, peer_id in answered_peers.items()
                if engine_id not in answered
            },
        )
        self._apply(check)

    def _apply(self, check: reach_lib.LinkCheck) -> None:
        now = self.clock()
        has_changed = self.reach.apply(check, now)
        self.metrics.count(
            "link_check", "answered" if check.answered else "silent"
        )
        if check.answered and not has_changed:
            return
        message = "engines silent"
        if self.reach.is_cut:
            message = "links to engines lost"
        elif has_changed:
            message = "links to engines work"
        if self.reach.is_cut and not has_changed:
            return
        logs.event(
            message,
            asked=sorted(check.asked),
            answered=sorted(check.answered),
            answered_peers=dict(check.answered_peers),
            took_s=round(now - check.started_at, 3),
            last_answer_s=round(now - self.reach.answered_at, 3),
            peers=[peer.id for peer in self.peers.candidates()],
        )
        if has_changed:
            self.metrics.count("links", "lost" if self.reach.is_cut else "work")
            self.on_changed()

    async def _ask(
        self, engine: model.EngineRecord, answered: set[str]
    ) -> None:
        report_result = await self.gateway.report(engine, _ASK_TIMEOUT_S)
        if linked_gateway.is_answered(report_result):
            answered.add(engine.id)

    def _ask_peers(
        self,
        targets: list[model.EngineRecord],
        answered: set[str],
        answered_peers: dict[str, str],
    ) -> list["asyncio.Future[None]"]:
        """Starts to ask each of some peers about an engine without answer."""
        silent = [engine for engine in targets if engine.id not in answered]
        peers = self.peers.candidates()
        self.rng.shuffle(peers)
        return [
            asyncio.ensure_future(
                self._ask_peer(
                    peer.id, silent[index % len(silent)], answered_peers
                )
            )
            for index, peer in enumerate(peers[:_MAX_PEERS])
        ]

    async def _ask_peer(
        self, peer_id: str, engine: model.EngineRecord, answered: dict[str, str]
    ) -> None:
        report_result = await self.peers.ask(peer_id, engine, _ASK_TIMEOUT_S)
        if linked_gateway.is_answered(report_result):
            answered[engine.id] = peer_id


async def _until(
    is_enough: Callable[[], bool],
    asked: list["asyncio.Future[None]"],
    timeout_s: float,
) -> None:
    """Waits until answers are enough, all have come, or time is up."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s
    pending = {task for task in asked if not task.done()}
    while pending and not is_enough():
        done, pending = await asyncio.wait(
            pending,
            timeout=max(0.0, ends_at - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return
