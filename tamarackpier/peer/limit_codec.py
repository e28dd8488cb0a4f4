"""Limits of engines and cold engines in messages between entry instances."""

import math
from collections.abc import Mapping

from tamarackpier import logs
from tamarackpier.fleet import cold_engines, model
from tamarackpier.peer import ages
from tamarackpier.traffic import rate_limits
from tamarackpier.wire import entry_pb2

__all__ = ["add_cold", "add_limits", "merge_cold", "merge_limits"]

_MAX_INCARNATION = (1 << 63) - 1
_MS_PER_S = 1000


def add_limits(
    limits: rate_limits.UpstreamLimits,
    status: entry_pb2.EntryStatus,
    now: float,
) -> None:
    """Adds the limits that peers are told of to a message."""
    status.limits.extend(
        entry_pb2.RateLimit(
            engine=limit.engine_id,
            incarnation=limit.incarnation,
            rate=limit.rate,
            age_ms=ages.age_ms(limit.at, now),
        )
        for limit in limits.to_send(now)
    )


def merge_limits(
    limits: rate_limits.UpstreamLimits,
    engines: Mapping[str, model.EngineRecord],
    status: entry_pb2.EntryStatus,
    now: float,
) -> None:
    """Records the limits of known engines in a peer's message."""
    for message in status.limits:
        rate = message.rate if message.HasField("rate") else None
        is_valid = rate is None or (math.isfinite(rate) and rate >= 0)
        if message.engine not in engines or not is_valid:
            continue
        limit = rate_limits.Limit(
            message.engine,
            message.incarnation,
            rate,
            ages.local_time(message.age_ms, now),
        )
        if limits.record(limit):
            logs.event(
                "upstream limited" if rate is not None else "limit ended",
                engine=message.engine,
                requests_per_s=rate,
                members=len(limits.members),
                peer=status.sender.id,
            )


def add_cold(
    cold: cold_engines.ColdEngines, status: entry_pb2.EntryStatus, now: float
) -> None:
    """Adds the cold engines that peers are told of to a message."""
    status.cold_engines.extend(
        entry_pb2.ColdEngine(
            engine=engine_id,
            incarnation=known.incarnation,
            left_ms=max(1, int((known.until - now) * _MS_PER_S)),
        )
        for engine_id, known in cold.to_send(now)
    )


def merge_cold(
    cold: cold_engines.ColdEngines,
    engines: Mapping[str, model.EngineRecord],
    status: entry_pb2.EntryStatus,
    now: float,
) -> None:
    """Records the known engines that are cold by a peer's message."""
    for message in status.cold_engines[: cold_engines.MAX_SENT]:
        if (
            message.engine not in engines
            or message.incarnation > _MAX_INCARNATION
        ):
            continue
        left_s = message.left_ms / _MS_PER_S
        if cold.merge(message.engine, message.incarnation, left_s, now):
            logs.event(
                "engine cold",
                engine=message.engine,
                incarnation=message.incarnation,
                left_s=left_s,
                source=f"peer {status.sender.id}",
            )
