"""Writes the tables of docs/CAPACITY.md from docs/capacity.json."""

import json
import pathlib
import re
from typing import Any

_DOCS_DIR = pathlib.Path("docs")
_ENTRY_COUNT, _ENGINE_COUNT, _SPAN = 330, 6200, 16
_REPLICA_COUNT = _ENGINE_COUNT // _SPAN
_DOMAIN_COUNT = 97
# Number of fabric domains from whose watchers an instance pulls evidence.
_USED_DOMAIN_COUNT = 3
_REPLICAS_PER_DOMAIN = 4
_PROBE_PERIOD_S = 1.0
_PULL_PERIOD_S = 0.75
# Budgets for the control work of one entry instance.
_BUDGET_BYTES_PER_S = 29_000
_BUDGET_CORES = 0.027
_BEGIN_MARKER, _END_MARKER = "<!-- tables -->", "<!-- end of tables -->"


def main() -> None:
    """Replaces the tables on the page."""
    document = json.loads((_DOCS_DIR / "capacity.json").read_text())
    page = (_DOCS_DIR / "CAPACITY.md").read_text()
    body = f"{_BEGIN_MARKER}\n{tables(document)}{_END_MARKER}"
    pattern = re.compile(f"{_BEGIN_MARKER}.*{_END_MARKER}", re.S)
    (_DOCS_DIR / "CAPACITY.md").write_text(pattern.sub(lambda _: body, page))


def tables(document: dict[str, Any]) -> str:
    """Returns the tables as Markdown."""
    return "\n".join([_slope_table(document), _control_table(document)])


def _find(
    document: dict[str, Any], name: str, unit: str, index: int = -1
) -> Any:
    """Returns one of the slopes with a name and a unit, by default the last."""
    slopes = [
        slope
        for slope in document["slopes"]
        if slope["name"] == name and slope["unit"] == unit
    ]
    return slopes[index]


def _value_at(slope: Any, size: float) -> float:
    return slope["base"] + slope["slope"] * size


def _slope_table(document: dict[str, Any]) -> str:
    lines = [
        f"Seed {document['seed']}, revision {document['revision']}.",
        "",
        "| slope | against | sizes | at 0 | each | residual |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for slope in document["slopes"]:
        sizes = ", ".join(f"{size:g}" for size in slope["sizes"])
        lines.append(
            f"| {slope['name']}, {slope['unit']} | {slope['of']} | {sizes} "
            f"| {slope['base']:g} | {slope['slope']:g} "
            f"| {slope['residual']:.1%} |"
        )
    return "\n".join(lines) + "\n"


def _control_table(document: dict[str, Any]) -> str:
    """Returns the control work of an entry instance at the two-year size."""
    watched_engines = 2 * _ENGINE_COUNT / _ENTRY_COUNT
    probe = _find(document, "probing", "core")
    # Probing is measured with two probes per second to each engine; at the
    # two-year size a watcher sends one.
    probing_cores = probe["slope"] * watched_engines * 0.5 / _PROBE_PERIOD_S
    peer_cores = max(_find(document, "peers at rest", "core")["values"])
    peer_bytes_per_s = max(
        _find(document, "peers at rest", "bytes/s")["values"]
    )
    full_list_bytes = _value_at(
        _find(document, "full exchange's list", "bytes"), _ENTRY_COUNT
    )
    evidence_bytes = _find(document, "evidence on the wire", "bytes")["slope"]
    transfer = _find(document, "evidence, written, read and kept", "ms")
    messages_per_s = max(
        _find(document, "peers at rest", "messages/s")["values"]
    )
    # The watchers of a domain are pulled from in turn, one at a time. Each
    # pull costs the instance that sends it and the one that answers it.
    pulls_per_s = _USED_DOMAIN_COUNT / _PULL_PERIOD_S
    transfer_s = transfer["values"][0] / transfer["sizes"][0] / 1000
    evidence_bytes_per_s = (
        2 * pulls_per_s * _REPLICAS_PER_DOMAIN * evidence_bytes
    )
    pull_cpu_s = peer_cores / messages_per_s + _REPLICAS_PER_DOMAIN * transfer_s
    evidence_cores = 2 * pulls_per_s * pull_cpu_s
    review_s = _value_at(_find(document, "review", "ms"), _ENTRY_COUNT) / 1000
    plan_s = _find(document, "plan", "us")["values"][1] / 1e6
    # Watchers and planners read the rows of a domain; contenders for its lease
    # read the lease row.
    row_reads_per_s = _DOMAIN_COUNT * 2.5 / _ENTRY_COUNT
    other_calls_per_s = (_DOMAIN_COUNT * 4.5 + _ENTRY_COUNT / 5) / _ENTRY_COUNT
    call_cpu_s = probe["slope"] * 0.5
    rows = (
        (
            "table calls",
            "rows of watched domains, leases, the sheet's head",
            (row_reads_per_s + other_calls_per_s) * call_cpu_s,
            row_reads_per_s * 64 * 70 + other_calls_per_s * 350,
        ),
        (
            "probing",
            "two watchers a domain, one probe a second",
            probing_cores,
            watched_engines * 450 / _PROBE_PERIOD_S,
        ),
        (
            "peers",
            "three monitors each; news only",
            peer_cores,
            peer_bytes_per_s + 2 * full_list_bytes / 10,
        ),
        ("review of peers", "once a period", review_s / 0.75, 0.0),
        (
            "evidence",
            "pulled from the watchers of three domains in turn",
            evidence_cores,
            evidence_bytes_per_s,
        ),
        (
            "planning",
            "one lease a domain; 97 over 330 nodes",
            plan_s * _DOMAIN_COUNT / _ENTRY_COUNT / 0.5,
            0.0,
        ),
        (
            "sheet changes",
            "pushed once, 330 messages an acceptance",
            0.31 * 2 * 0.0007,
            0.31 * 600,
        ),
    )
    lines = [
        "",
        "| control of one node | mechanism | core | bytes/s |",
        "| --- | --- | --- | --- |",
    ]
    for name, mechanism, cores, bytes_per_s in rows:
        lines.append(
            f"| {name} | {mechanism} | {cores:.2%} | {bytes_per_s:,.0f} |"
        )
    total_cores = sum(row[2] for row in rows)
    total_bytes_per_s = sum(row[3] for row in rows)
    lines.append(f"| sum | | {total_cores:.2%} | {total_bytes_per_s:,.0f} |")
    lines.append(
        f"| budget | | {_BUDGET_CORES:.1%} | {_BUDGET_BYTES_PER_S:,} |"
    )
    lines.append(
        f"| ratio | | {total_cores / _BUDGET_CORES:.2f} "
        f"| {total_bytes_per_s / _BUDGET_BYTES_PER_S:.2f} |"
    )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
