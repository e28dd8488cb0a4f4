"""Contents of a sheet, independent of its file format.

A sheet lists the events for which capacity is planned, with the replicas of
each model and the rates reserved for each client account.
"""

import dataclasses
from collections.abc import Iterable, Iterator

__all__ = ["Demand", "RowKey", "Sheet", "SheetRow", "empty"]

RowKey = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class SheetRow:
    """Capacity of one client account in one event.

    Attributes:
        event: Name of the event.
        starts_at: Start of the event, in seconds since the Unix epoch.
        ends_at: End of the event, in seconds since the Unix epoch.
        model: Model to serve.
        version: Version of the model.
        replicas: Number of replicas of the model for the event.
        span: Number of instances in each replica.
        account: Name of the client account.
        tokens_per_s: Reserved rate of generated tokens, per second.
        requests_per_s: Reserved rate of requests, per second.
        priority: Priority of the account's requests; lower values run first.
    """

    event: str
    starts_at: float
    ends_at: float
    model: str
    version: str
    replicas: int
    span: int
    account: str
    tokens_per_s: float
    requests_per_s: float
    priority: int

    @property
    def key(self) -> RowKey:
        """Event, model and client account, which identify the row."""
        return (self.event, self.model, self.account)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand of one event for replicas of one model.

    Attributes:
        event: Name of the event.
        model: Model to serve.
        version: Version of the model.
        replicas: Number of replicas.
        span: Number of instances in each replica.
        starts_at: Start of the event, in seconds since the Unix epoch.
        ends_at: End of the event, in seconds since the Unix epoch.
    """

    event: str
    model: str
    version: str
    replicas: int
    span: int
    starts_at: float
    ends_at: float


@dataclasses.dataclass(frozen=True)
class Sheet:
    """One version of the sheet.

    Attributes:
        version: Version number, which rises by one with each accepted sheet;
            the empty sheet has version 0.
        rows: Rows, sorted by key.
    """

    version: int
    rows: tuple[SheetRow, ...]

    def demands(self) -> Iterator[Demand]:
        """Yields one demand for each event and model."""
        yielded_keys = set()
        for row in self.rows:
            if (row.event, row.model) not in yielded_keys:
                yielded_keys.add((row.event, row.model))
                yield Demand(
                    row.event,
                    row.model,
                    row.version,
                    row.replicas,
                    row.span,
                    row.starts_at,
                    row.ends_at,
                )

    def active(self, wall_s: float) -> Iterator[SheetRow]:
        """Yields the rows of events that run at the given time.

        Args:
            wall_s: Time in seconds since the Unix epoch.
        """
        for row in self.rows:
            if row.starts_at <= wall_s < row.ends_at:
                yield row

    def with_rows(self, version: int, rows: Iterable[SheetRow]) -> "Sheet":
        """Returns a sheet with the given version and rows."""
        return Sheet(version, tuple(sorted(rows, key=lambda row: row.key)))


def empty() -> Sheet:
    """Returns the sheet that is in force before any is accepted."""
    return Sheet(0, ())
