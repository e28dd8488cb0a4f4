"""Which peers answer this instance.

The state of a peer arrives by way of others, so one that is live may still not
answer this instance. What counts here is answers to its own calls.
"""

import enum
import math
from collections.abc import Collection

__all__ = ["News", "PeerContacts", "Standing"]

# Time for which an answer shows that a peer answers.
_RECENT_S = 1.0
# Time without an answer to a short call after which a peer counts as silent.
_PATIENCE_S = 0.15
# Time after which a call without an answer says nothing any more.
_SILENCE_KEEP_S = 5.0
# Time for which a peer isn't asked that did not have what it reported.
_DISTRUST_S = 5.0


class News(enum.StrEnum):
    """What peers are asked for."""

    CONFIGURATION = "configuration"
    ENGINE_ROWS = "engine_rows"


class Standing(enum.IntEnum):
    """Whether a peer answers; lower values are asked first."""

    ANSWERS = 0
    UNKNOWN = 1
    SILENT = 2


class PeerContacts:
    """Calls to peers and their answers.

    All times are in seconds on the monotonic clock.

    Attributes:
        answered_at: Time of the last answer, by peer ID.
        unanswered_since: Send time of the first call since then that has no
            answer, by peer ID.
        distrusted_until: Time until which the reports of a peer are left out,
            by its ID, for each kind of news.
    """

    def __init__(self) -> None:
        self.answered_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}
        self.distrusted_until: dict[News, dict[str, float]] = {
            news: {} for news in News
        }

    def record_call(self, peer_id: str, now: float) -> None:
        """Records a call that is answered without a wait."""
        since = self.unanswered_since.get(peer_id, -math.inf)
        if now - since > _SILENCE_KEEP_S:
            self.unanswered_since[peer_id] = now

    def record_answer(self, peer_id: str, now: float) -> None:
        """Records an answer."""
        self.answered_at[peer_id] = now
        self.unanswered_since.pop(peer_id, None)

    def record_failure(self, peer_id: str, now: float) -> None:
        """Records a call that failed, at whatever time it was sent."""
        self.unanswered_since[peer_id] = min(
            now - _PATIENCE_S, self.unanswered_since.get(peer_id, now)
        )

    def distrust(self, peer_id: str, news: News, now: float) -> None:
        """Records that a peer did not have what it reported."""
        self.distrusted_until[news][peer_id] = now + _DISTRUST_S

    def distrusted(self, news: News, now: float) -> set[str]:
        """Returns the IDs of the peers whose reports don't count now."""
        return {
            peer_id
            for peer_id, until in self.distrusted_until[news].items()
            if now < until
        }

    def standing(self, peer_id: str, now: float) -> Standing:
        """Returns whether a peer answers this instance."""
        since = self.unanswered_since.get(peer_id)
        if since is not None and _PATIENCE_S <= now - since < _SILENCE_KEEP_S:
            return Standing.SILENT
        if now - self.answered_at.get(peer_id, -math.inf) < _RECENT_S:
            return Standing.ANSWERS
        return Standing.UNKNOWN

    def keep_only(self, peer_ids: Collection[str]) -> None:
        """Drops the records of all other peers."""
        for records in (
            self.answered_at,
            self.unanswered_since,
            *self.distrusted_until.values(),
        ):
            for peer_id in [one for one in records if one not in peer_ids]:
                del records[peer_id]
