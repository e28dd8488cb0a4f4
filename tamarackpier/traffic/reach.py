"""Decides whether this instance has lost its links to all engines; no I/O.

An engine that does not answer may have ended, or this instance may be
partitioned from it. Engines that answer other instances and not this one tell
the two apart: one link check asks several engines at once, directly and through
peers. A few engines may still be within reach.

Only contacts that began after a doubtful one clear it: connections that are
open may live on while new ones fail.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Collection, Iterable, Mapping

from tamarackpier.fleet import model

__all__ = ["Contact", "LinkCheck", "Reach", "check_targets"]

# Time after which a request without an answer is doubtful, if no later contact
# was answered. Most answers begin earlier; a check costs one probe if links
# work.
_SLOW_S = 0.4
# Time for which a failure waits for the answer to a later contact.
_FAILED_S = 0.2
# Time between two checks while engines are in doubt.
_CHECK_INTERVAL_S = 0.25
# Time between two checks while no engine answers anyone, or while links are
# known to be lost. Probes are charged.
_IDLE_CHECK_INTERVAL_S = 0.5
# Time for which no engine has answered anybody before requests are refused at
# once. Sound engines fall silent for a second or so and go on.
_OUTAGE_S = 2.0


@dataclasses.dataclass(frozen=True, eq=False)
class Contact:
    """A request or probe on a new connection.

    Attributes:
        started_at: Time at which it began, in seconds on the monotonic clock.
    """

    started_at: float


@dataclasses.dataclass(frozen=True)
class LinkCheck:
    """Result of asking several engines at once.

    Attributes:
        started_at: Start of the check, in seconds on the monotonic clock.
        asked: IDs of the engines that were asked directly.
        answered: Those of them that answered.
        answered_peers: Peer that an engine answered which did not answer this
            instance, by engine ID.
    """

    started_at: float
    asked: Collection[str]
    answered: Collection[str]
    answered_peers: Mapping[str, str]


class Reach:
    """Whether the links of this instance to the engines work.

    Attributes:
        is_cut: Whether they are lost: of the engines that answer anybody,
            most do not answer this instance.
        changed_at: Time of the last change of `is_cut`, in seconds on the
            monotonic clock.
        answered_at: Start of the latest contact that was answered, in seconds
            on the monotonic clock.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self.changed_at = -math.inf
        self.answered_at = -math.inf
        # Start of the first failed contact since an engine answered.
        self._failed_at = -math.inf
        self._pending: dict[Contact, None] = {}
        self._next_check_at = -math.inf
        # Start of the first of the latest checks that nobody answered.
        self._silent_since = math.inf

    def begin(self, now: float) -> Contact:
        """Records the start of a contact."""
        contact = Contact(now)
        self._pending[contact] = None
        return contact

    def answer(self, contact: Contact) -> None:
        """Records that an engine answered a contact."""
        self._pending.pop(contact, None)
        self.answered_at = max(self.answered_at, contact.started_at)

    def fail(self, contact: Contact) -> None:
        """Records that a contact failed without an answer."""
        self._pending.pop(contact, None)
        if self._failed_at <= self.answered_at < contact.started_at:
            self._failed_at = contact.started_at

    def abandon(self, contact: Contact) -> None:
        """Records that a contact was given up before its outcome was known."""
        self._pending.pop(contact, None)

    def was_cut_at(self, at: float) -> bool:
        """Returns whether links are lost, and were known to be at a time."""
        return self.is_cut and self.changed_at <= at

    def is_outage(self, now: float) -> bool:
        """Returns whether no engine has answered anybody for some time."""
        return self._is_silent() and now - self._silent_since > _OUTAGE_S

    def _is_silent(self) -> bool:
        return self.answered_at < self._silent_since < math.inf

    def is_check_due(self, now: float) -> bool:
        """Returns whether engines should be asked now."""
        if now < self._next_check_at:
            return False
        if self.is_cut or self._is_silent():
            return True
        if self._failed_at > self.answered_at:
            return now - self._failed_at > _FAILED_S
        return any(
            contact.started_at > self.answered_at
            and now - contact.started_at > _SLOW_S
            for contact in self._pending
        )

    def apply(self, check: LinkCheck, now: float) -> bool:
        """Applies the result of a check.

        Returns:
            Whether `is_cut` changed.
        """
        was_cut = self.is_cut
        if check.answered or check.answered_peers or not check.asked:
            self._silent_since = math.inf
        elif not self._is_silent():
            self._silent_since = check.started_at
        if was_cut:
            self.is_cut = not check.asked or (
                len(check.answered) < len(check.asked)
            )
        else:
            self.is_cut = len(check.answered_peers) > len(check.answered)
        if check.answered and not self.is_cut:
            self.answered_at = max(self.answered_at, check.started_at)
        is_idle = self.is_cut or not check.answered
        self._next_check_at = now + (
            _IDLE_CHECK_INTERVAL_S if is_idle else _CHECK_INTERVAL_S
        )
        if self.is_cut != was_cut:
            self.changed_at = now
        return self.is_cut != was_cut


def check_targets(
    engines: Iterable[model.EngineRecord], count: int, rng: random.Random
) -> list[model.EngineRecord]:
    """Returns engines that have as little in common as possible.

    At most one member of each replica is among them, and services and
    availability zones are mixed.

    Args:
        engines: The engines to choose from.
        count: Largest number to return.
        rng: Source of the choice among equals.
    """
    by_upstream: dict[object, list[model.EngineRecord]] = (
        collections.defaultdict(list)
    )
    for engine in engines:
        membership = engine.membership
        by_upstream[membership.key if membership else engine.id].append(engine)
    remaining = [rng.choice(members) for members in by_upstream.values()]
    rng.shuffle(remaining)
    targets: list[model.EngineRecord] = []
    services: collections.Counter[str] = collections.Counter()
    zones: collections.Counter[str] = collections.Counter()
    while remaining and len(targets) < count:
        target = min(
            remaining,
            key=lambda engine: (
                services[engine.service],
                zones[engine.availability_zone],
            ),
        )
        remaining.remove(target)
        targets.append(target)
        services[target.service] += 1
        zones[target.availability_zone] += 1
    return targets
