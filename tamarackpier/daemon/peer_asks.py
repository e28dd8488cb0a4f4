"""Calls that ask peers for what is missing; the first answer counts."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from absl import logging
from returns import pipeline, result

from tamarackpier import codes, logs, metrics
from tamarackpier.peer import contacts, propagation, pulls

__all__ = ["PeerAsks"]


class PeerAsks:
    """Asks peers for one kind of news.

    Attributes:
        news: The kind of news.
        ask: Asks a peer and applies its answer; returns a fault if there was
            none.
        own_version: Returns the version that this instance has.
        contacts: Which peers answer; updated.
        metrics: Counts calls and their failures.
        clock: Returns the monotonic time, in seconds.
        pull: Chooses the peers to ask.
        tasks: The calls in flight, by the ID of the peer.
    """

    def __init__(
        self,
        news: contacts.News,
        ask: Callable[[pulls.Ask], Awaitable[result.Result[None, codes.Fault]]],
        own_version: Callable[[], int],
        peer_contacts: contacts.PeerContacts,
        counts: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.news = news
        self.ask = ask
        self.own_version = own_version
        self.contacts = peer_contacts
        self.metrics = counts
        self.clock = clock
        self.pull = pulls.Pull(rng)
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def advance(
        self,
        version: int,
        holders: Sequence[pulls.Holder],
        times: propagation.PropagationTimes,
    ) -> None:
        """Asks one more peer, if it is time to.

        Args:
            version: The version that is missing.
            holders: The peers that report to have it.
            times: The limits in force.
        """
        ask = self.pull.choose(holders, times, self.clock())
        if ask is None:
            return
        self.metrics.count("peer_asked", self.news)
        logs.decision(
            "asks a peer",
            news=self.news,
            peer=ask.peer_id,
            version=version,
            own_version=self.own_version(),
            holders=len(holders),
        )
        self.tasks[ask.peer_id] = asyncio.ensure_future(
            self._run(ask, version, times)
        )

    def stop(self) -> None:
        """Gives up the calls in flight: nothing is missing."""
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()
        self.pull.reset()

    async def _run(
        self, ask: pulls.Ask, version: int, times: propagation.PropagationTimes
    ) -> None:
        try:
            outcome = await self.ask(ask)
        except Exception:
            self.metrics.count("work_error", self.news)
            logging.exception("failed to apply %s of a peer", self.news)
            self._record_lack(ask.peer_id, version)
        else:
            if not pipeline.is_successful(outcome):
                self._record_failure(ask.peer_id, outcome.failure())
            elif self.own_version() < version:
                self._record_lack(ask.peer_id, version)
            else:
                del self.tasks[ask.peer_id]
                self.stop()
                return
        del self.tasks[ask.peer_id]
        self.pull.record_failure(ask.peer_id, times, self.clock())

    def _record_failure(self, peer_id: str, fault: codes.Fault) -> None:
        self.metrics.count("fetch_error", fault.code.name)
        logs.event(
            "fetch from a peer failed",
            news=self.news,
            peer=peer_id,
            detail=str(fault)[:200],
        )

    def _record_lack(self, peer_id: str, version: int) -> None:
        """Records that a peer did not have what it had reported."""
        self.metrics.count("peer_lacks", self.news)
        logs.event(
            "peer lacks what it reported",
            news=self.news,
            peer=peer_id,
            version=version,
        )
        self.contacts.distrust(peer_id, self.news, self.clock())
