"""Explains the outcome of a request or of a replica from log lines."""

import dataclasses
import json
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from tamarackpier import codes, registry

__all__ = [
    "CAUSES",
    "Explanation",
    "Line",
    "explain_replica",
    "explain_request",
    "matching",
    "names_of",
]

# Time before a request's first line and after its last one, in seconds, within
# which lines about its replicas and engines belong to the explanation.
_CONTEXT_S = 1.5
_ZONE_EVACUATED = "zone evacuated"


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    Attributes:
        time: Unix seconds on the clock of the instance that wrote it.
        instance: Identifier of the instance that wrote it.
        message: Text of the event.
        fields: The whole JSON object, by field name.
    """

    time: float
    instance: str
    message: str
    fields: dict[str, Any]

    def get(self, name: str) -> str:
        """Returns a field as text; empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The outcome that the lines show.

    Attributes:
        lines: Relevant lines, sorted by time.
        cause: The cause of the outcome, in one sentence.
    """

    lines: tuple[Line, ...]
    cause: str


def matching(lines: Iterable[bytes], names: Sequence[str]) -> Iterator[Line]:
    """Yields the parsed lines that contain any of the names.

    Text before the JSON object of a line is skipped, and lines without a
    JSON object are dropped.
    """
    encoded_names = [name.encode() for name in names if name]
    for data in lines:
        if not any(encoded_name in data for encoded_name in encoded_names):
            continue
        line = _parse(data)
        if line is not None:
            yield line


def _parse(data: bytes) -> Line | None:
    start = data.find(b"{")
    if start < 0:
        return None
    try:
        fields = json.loads(data[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    time = fields.get("time")
    return Line(
        float(time) if isinstance(time, int | float) else 0.0,
        str(fields.get("instance", "")),
        str(fields.get("message", "")),
        fields,
    )


# A function that returns the cause of an outcome, or an empty string if the
# lines do not show this cause. Its arguments are the lines about the request,
# sorted by time, and the nearby lines about its replicas and engines.
CauseFinder = Callable[[list[Line], list[Line]], str]
# The functions are tried in the order of their names, which therefore start
# with a number; the first cause found is reported.
CAUSES: registry.Registry[CauseFinder] = registry.Registry("cause")


def explain_request(
    request_id: str, candidates: Iterable[Line], context: Iterable[Line]
) -> Explanation:
    """Explains the outcome of a request.

    Args:
        request_id: Identifier of the request.
        candidates: Lines that contain the request's identifier.
        context: Lines that contain the names of its replicas and engines.
    """
    request_lines = sorted(
        (line for line in candidates if line.get("request") == request_id),
        key=lambda line: line.time,
    )
    if not request_lines:
        return Explanation(
            (),
            "no line names it: it reached no instance, its lines were "
            "dropped under load, or these logs do not cover it",
        )
    start = request_lines[0].time - _CONTEXT_S
    end = request_lines[-1].time + _CONTEXT_S
    context_lines = list(context)
    nearby_lines = [
        line
        for line in context_lines
        if start <= line.time <= end
        and line.message
        in ("replica asked", "replica suspended", "engine row gone", "order")
    ]
    nearby_lines += _evacuations_before(request_lines, context_lines)
    cause = ""
    for name in CAUSES:
        cause = CAUSES.get(name)(request_lines, nearby_lines)
        if cause:
            break
    lines = sorted([*request_lines, *nearby_lines], key=lambda line: line.time)
    return Explanation(tuple(lines), cause or "no line reports a failure")


def names_of(lines: Iterable[Line]) -> list[str]:
    """Returns what the lines that explain a request contain.

    These are the replicas and engines that it was sent to, and the message of
    an evacuation if it was refused because of one.
    """
    names = set()
    for line in lines:
        names |= {line.get("replica"), line.get("engine")}
        if _is_refused_by_evacuation(line):
            names.add(_ZONE_EVACUATED)
    return sorted(names - {""})


def explain_replica(name: str, lines: Iterable[Line]) -> Explanation:
    """Explains how a replica opened and ended.

    Args:
        name: Name of the replica.
        lines: Lines that contain the name.
    """
    replica_lines = sorted(
        (
            line
            for line in lines
            if line.get("replica") == name and line.message != "sent"
        ),
        key=lambda line: line.time,
    )
    end_lines = [
        line
        for line in replica_lines
        if line.message == "replica suspended"
        or (line.message == "order" and line.get("kind") in ("leave", "close"))
    ]
    open_lines = [line for line in replica_lines if line.get("kind") == "open"]
    parts = []
    if open_lines:
        parts.append(f"ordered to open at {open_lines[0].time:.3f}")
    if end_lines:
        parts.append(
            f"ended at {end_lines[0].time:.3f}: {end_lines[0].get('reason')}"
        )
    return Explanation(
        tuple(replica_lines),
        "; ".join(parts) or "no line in these logs shows its end",
    )


def _is_refused_by_evacuation(line: Line) -> bool:
    """Returns whether a line says so, also in the detail of another fault."""
    return line.message == "not answered" and codes.ZONES_EVACUATED.name in (
        f"{line.get('name')} {line.get('detail')}"
    )


def _evacuations_before(
    request_lines: list[Line], context: list[Line]
) -> list[Line]:
    """Returns the evacuations because of which a request was refused.

    These are the last of each zone that the refusing instance learned of.
    """
    refusal = _last(request_lines, "not answered")
    if refusal is None or not _is_refused_by_evacuation(refusal):
        return []
    last_by_zone = {}
    for line in sorted(context, key=lambda line: line.time):
        if (
            line.message == _ZONE_EVACUATED
            and line.instance == refusal.instance
            and line.time <= refusal.time
            and f"{line.get('zone')} at version" in refusal.get("detail")
        ):
            last_by_zone[line.get("zone")] = line
    return list(last_by_zone.values())


def _last(lines: list[Line], message: str) -> Line | None:
    matches = [line for line in lines if line.message == message]
    return matches[-1] if matches else None


def _describe_repeats(request_lines: list[Line]) -> str:
    reasons = [
        line.get("reason") for line in request_lines if line.message == "repeat"
    ]
    return (
        f"; repeated before because of: {', '.join(reasons)}" if reasons else ""
    )


@CAUSES.register("1 refused")
def _refused(request_lines: list[Line], nearby_lines: list[Line]) -> str:
    refusal = _last(request_lines, "not answered")
    if refusal is None:
        return ""
    code = codes.by_number(int(refusal.fields.get("code", 0)))
    meaning = code.meaning if code else refusal.get("name")
    text = f"{refusal.get('code')} {refusal.get('name')}: {meaning}"
    text += f" ({refusal.get('detail')})"
    text += _describe_repeats(request_lines)
    suspensions = [
        line for line in nearby_lines if line.message == "replica suspended"
    ]
    if suspensions:
        text += f"; its replica was suspended: {suspensions[0].get('reason')}"
    for line in nearby_lines:
        if line.message == _ZONE_EVACUATED:
            text += (
                f"; {line.get('zone')} evacuated at {line.time:.3f}, learned"
                f" from {line.get('source')}"
            )
    return text


@CAUSES.register("2 caller gone")
def _caller_gone(request_lines: list[Line], nearby_lines: list[Line]) -> str:
    departure = _last(request_lines, "caller gone")
    if departure is None:
        return ""
    text = f"the caller left after {departure.get('after_s')} s"
    attempt = _last(request_lines, "sent")
    if attempt is None:
        return f"{text}, before any attempt"
    waited_s = departure.time - attempt.time
    target = attempt.get("replica") or attempt.get("engine")
    text += f", {waited_s:.2f} s after an attempt at {target}"
    return text + _describe_repeats(request_lines)


@CAUSES.register("3 engine failed")
def _engine_failed(request_lines: list[Line], nearby_lines: list[Line]) -> str:
    answer = _last(request_lines, "answered")
    if answer is None or int(answer.fields.get("status", 0)) < 400:
        return ""
    engines = [
        line.get("engine") for line in request_lines if line.message == "sent"
    ]
    return (
        f"engine {engines[-1] if engines else '?'} itself answered "
        f"{answer.get('status')}; engines tried: {', '.join(engines)}"
    )


@CAUSES.register("4 late")
def _late(request_lines: list[Line], nearby_lines: list[Line]) -> str:
    answer = _last(request_lines, "answered")
    if answer is None:
        return ""
    repeats = [line for line in request_lines if line.message == "repeat"]
    if repeats:
        return (
            f"answered after {answer.get('took_s')} s, sent again because "
            f"{repeats[0].get('after')}"
        )
    attempt = _last(request_lines, "sent")
    expected_s = float(attempt.fields.get("expected_s", 0)) if attempt else 0.0
    return (
        f"answered {answer.get('status')} in {answer.get('took_s')} s; "
        f"the first event was expected after {expected_s} s with "
        f"{attempt.get('running') if attempt else '?'} requests in flight there"
    )


@CAUSES.register("5 cut short")
def _cut_short(request_lines: list[Line], nearby_lines: list[Line]) -> str:
    if not request_lines:
        return ""
    return (
        f"the last line is {request_lines[-1].message!r} "
        f"at {request_lines[-1].instance}: the "
        "process ended before the answer did, or the line was dropped"
    )
