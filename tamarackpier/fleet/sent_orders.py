"""Limits how often an order is sent again before its effect is visible."""

import dataclasses

from tamarackpier.fleet import model

__all__ = ["RESEND_INTERVAL_S", "SentOrders"]

# Minimum interval between two orders of the same kind to an engine. An order is
# answered within 10 ms, and its effect is visible within 100 ms.
RESEND_INTERVAL_S = 0.4


@dataclasses.dataclass
class SentOrders:
    """Orders sent for one formation or retirement.

    Attributes:
        sent_at: Time of the last order, by engine ID and kind of order, in
            seconds on the monotonic clock.
    """

    sent_at: dict[tuple[str, model.OrderKind], float] = dataclasses.field(
        default_factory=dict
    )

    def take_if_due(self, order: model.Order, now: float) -> list[model.Order]:
        """Returns the order if it is due, and records it as sent.

        Returns:
            A list of the order; empty if the engine was sent an order of this
            kind less than `RESEND_INTERVAL_S` ago.
        """
        if not self.is_due(order, now):
            return []
        self.sent_at[order.engine.id, order.kind] = now
        return [order]

    def is_due(self, order: model.Order, now: float) -> bool:
        """Returns whether an order may be sent, for the first time or again."""
        last_sent_at = self.last_sent_at(order.engine.id, order.kind)
        return last_sent_at is None or now - last_sent_at >= RESEND_INTERVAL_S

    def last_sent_at(
        self, engine_id: str, kind: model.OrderKind
    ) -> float | None:
        """Returns the time of the last order of a kind to an engine."""
        return self.sent_at.get((engine_id, kind))
