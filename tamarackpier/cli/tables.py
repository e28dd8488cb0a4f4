"""Formats the responses of the operators' endpoints as text."""

import datetime
from collections.abc import Iterable, Sequence
from typing import Any

__all__ = [
    "accepted",
    "changes",
    "codes",
    "counters",
    "events",
    "replicas",
    "status",
]

Document = dict[str, Any]


def grid(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Formats rows as left-aligned columns under a header."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_utc(unix_s: float) -> str:
    """Formats Unix seconds as a date and time in UTC."""
    utc_time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%SZ")


def accepted(document: Document) -> str:
    """Formats the response to a submitted sheet.

    The command adds `in_force_after_s` to the response if it waited until the
    sheet was in force.
    """
    verb = "was accepted before" if document["is_repeat"] else "is accepted"
    text = f"version {document['version']} {verb}, {document['rows']} rows"
    if "in_force_after_s" in document:
        text += f"; in force everywhere after {document['in_force_after_s']} s"
    return text


def changes(document: Document) -> str:
    """Formats the changes that a sheet would make."""
    row_changes = document["changes"]
    lines = [
        f"{len(row_changes)} rows differ from version "
        f"{document['base_version']}"
    ]
    for row_change in row_changes:
        name = "/".join(row_change["key"])
        if row_change["before"] is None:
            lines.append(f"+ {name}")
        elif row_change["after"] is None:
            lines.append(f"- {name}")
        else:
            lines.append(f"~ {name}: {_format_changed_columns(row_change)}")
    return "\n".join(lines)


def _format_changed_columns(row_change: Document) -> str:
    """Formats the columns that differ, with their values before and after."""
    before, after = row_change["before"], row_change["after"]
    return ", ".join(
        f"{name} {before[name]} -> {after[name]}"
        for name in before
        if before[name] != after[name]
    )


def status(document: Document) -> str:
    """Formats the state of an entry instance and the peers it knows."""
    state = "leaving" if document["is_leaving"] else "serving"
    lines = [
        f"{document['instance']} in {document['availability_zone']}: {state}",
        f"sheet version {document['sheet_version']}, "
        f"{document['in_flight']} requests in flight, "
        f"{document['waiting']} waiting",
        f"plans {', '.join(document['domains_planned']) or 'no domain'}",
    ]
    for name, count in document["breaches"].items():
        lines.append(f"BROKEN INVARIANT {name}: {count} times")
    header = ("peer", "zone", "liveness", "sheet", "address")
    rows = [
        (
            peer["id"],
            peer["availability_zone"],
            peer["liveness"],
            peer["sheet_version"],
            peer["caller_address"],
        )
        for peer in document["peers"]
    ]
    return "\n".join([*lines, grid(header, rows)])


def counters(document: Document) -> str:
    """Formats counters and latencies."""
    counts = grid(("counter", "value"), document["counters"].items())
    header = ("latency", "count", "p50 s", "p95 s", "p99 s", "max s")
    rows = [
        (name, *(f"{value:g}" for value in summary.values()))
        for name, summary in document["latencies"].items()
    ]
    return f"{counts}\n\n{grid(header, rows)}"


def replicas(document: Document) -> str:
    """Formats the replicas and their states."""
    header = ("replica", "domain", "model", "fence", "load", "state")
    rows = [
        (
            replica["replica_id"],
            replica["domain"],
            f"{replica['model']}/{replica['version']}",
            replica["fence"],
            f"{replica['running']}/{replica['slots']}",
            "serving" if replica["is_serving"] else replica["reason"],
        )
        for replica in document["replicas"]
    ]
    return grid(header, rows)


def events(document: Document) -> str:
    """Formats the scheduled events and the shortfall of each."""
    header = ("event", "model", "start", "load from", "serving", "lacks")
    rows = [
        (
            event["event"],
            f"{event['model']}/{event['version']}",
            format_utc(event["starts_at"]),
            format_utc(event["load_from"]),
            f"{event['serving']}/{event['replicas']}",
            f"{event['replicas'] - event['possible']}: {event['shortfall']}"
            if event["shortfall"]
            else "nothing",
        )
        for event in document["events"]
    ]
    return grid(header, rows)


def codes(document: Document) -> str:
    """Formats result codes."""
    header = ("code", "name", "HTTP", "outcome", "again", "meaning")
    rows = [
        (
            code["number"],
            code["name"],
            code["status"],
            code["outcome"],
            code["retry"],
            code["meaning"],
        )
        for code in document["codes"]
    ]
    return grid(header, rows)
