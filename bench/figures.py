"""Writes docs/FIGURES.md from the journal entry of each site's last score.

The worth of a day is a weighted sum of the shares that were delivered of what
was owed, less prices. The tables show where the worth was lost, so that the
largest loss can be worked on next.
"""

import json
import pathlib
from typing import Any

import click

_PAGE_PATH = pathlib.Path(__file__).parent.parent / "docs" / "FIGURES.md"
_INTRODUCTION = """# Figures

Written by `python -m bench.figures ENTRY...` from journal entries of scores;
`journal/` has every run. Shares are of what was owed: 1 would be every request
answered in time at no price. What a day lost is `1 - worth`: first what was
late, refused or failed over the whole day, in the worst two windows and in the
worst kind, each with its weight, then the prices.

"""
# Parts of a day's worth by their names in journal entries, with the titles of
# their columns.
_PARTS = {
    "whole day": "whole day",
    "worst windows": "windows",
    "worst class": "kind",
    "nines": "nines",
}
_MIN_LISTED_PRICE = 0.005  # Lower prices are added up as "rest".


def _weight_and_value(parts: list[list[Any]], name: str) -> tuple[float, float]:
    """Returns the weight and the value of a part of a day's worth."""
    for part_name, weight, value in parts:
        if part_name == name:
            return weight, value
    return 0.0, 0.0


def _parts_of(day: dict[str, Any]) -> list[str]:
    """Returns the names of the parts that a day's worth is made of."""
    names = {name for name, _, _ in day["parts"]}
    return [name for name in _PARTS if name in names]


def _row(day: dict[str, Any]) -> str:
    """Returns the row of a day in the table of losses."""
    columns = []
    for name in _parts_of(day):
        weight, value = _weight_and_value(day["parts"], name)
        columns.append(f"{value:.3f} | {weight * (1 - value):.3f}")
    prices = [(name, share) for name, _, share in day["prices"] if share > 0]
    listed = [price for price in prices if price[1] >= _MIN_LISTED_PRICE]
    listed.sort(key=lambda price: -price[1])
    unlisted_share = sum(share for _, share in prices) - sum(
        share for _, share in listed
    )
    listed_text = ", ".join(f"{name} {share:.3f}" for name, share in listed)
    return (
        f"| {day['name']} | {day['figure']:.2f} | {day['G']:.3f} "
        f"| {' | '.join(columns)} | {day['refused']:.3f} "
        f"| {day['failed']:.3f} | {listed_text}, rest {unlisted_share:.3f} |"
    )


def _section(entry: dict[str, Any]) -> str:
    """Returns the section of a site with its tables."""
    days = entry["days"]
    mean = sum(day["G"] for day in days) / len(days)
    troubled = [day["G"] for day in days if day["slot"] != "quiet"]
    titles = [_PARTS[name] for name in _parts_of(days[0])]
    columns = ["day", "score", "worth"]
    for title in titles:
        columns += [title, "lost"]
    columns += ["refused", "failed", "prices"]
    lines = [
        f"## {entry['site']}",
        "",
        f"Entry {entry['id']} at revision {entry['head'][:7]}: "
        f"score {entry['score']:.3f}, mean worth {mean:.3f}, on the days with "
        f"trouble {sum(troubled) / len(troubled):.3f}.",
        "",
        f"| {' | '.join(columns)} |",
        f"|{' --- |' * len(columns)}",
    ]
    lines += [_row(day) for day in days]
    lines += [
        "",
        "Share of its payoff that each kind of request (in the order of the "
        "sheet; rare kinds are left out) and each zone of callers got:",
        "",
        "| day | kinds | zones |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {day['name']} | {_format_shares(day['by_class'])} "
        f"| {_format_shares(day['by_zone'])} |"
        for day in days
    ]
    return "\n".join(lines) + "\n"


def _format_shares(shares: list[float | None]) -> str:
    """Returns the shares as text, with "-" for a missing one."""
    return ", ".join(
        "-" if share is None else f"{share:.2f}" for share in shares
    )


@click.command()
@click.argument(
    "entries", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def main(entries: tuple[pathlib.Path, ...]) -> None:
    """Writes docs/FIGURES.md from the journal ENTRIES, one for each site."""
    sections = [_section(json.loads(path.read_text())) for path in entries]
    _PAGE_PATH.write_text(_INTRODUCTION + "\n".join(sections))


if __name__ == "__main__":
    main()
