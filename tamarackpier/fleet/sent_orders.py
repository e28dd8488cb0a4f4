"""Sends an order again only after a while, since its effect takes time."""

import dataclasses

from tamarackpier.fleet import model

__all__ = ["RESEND_INTERVAL_S", "SentOrders"]

RESEND_INTERVAL_S = (
    0.4  # An order is answered within 10 ms and seen within 100 ms.
)


@dataclasses.dataclass
class SentOrders:
    """Orders sent for one purpose.

    Attributes:
        sent: When each engine was last sent each kind.
    """

    sent_at: dict[tuple[str, model.OrderKind], float] = dataclasses.field(
        default_factory=dict
    )

    def due(self, order: model.Order, now: float) -> list[model.Order]:
        """Returns the order if it is to be sent now."""
        token = (order.engine.id, order.kind)
        last = self.sent_at.get(token)
        if last is not None and now - last < RESEND_INTERVAL_S:
            return []
        self.sent_at[token] = now
        return [order]

    def was_sent(self, engine_id: str, kind: model.OrderKind) -> bool:
        """Returns whether an engine was ever sent a kind of order."""
        return (engine_id, kind) in self.sent_at
