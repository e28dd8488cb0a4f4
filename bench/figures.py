"""Writes the page of figures from a journal entry of each site's last score.

A day's worth is a weighted sum of shares of what was owed, less prices; the
table shows where the rest went, so that the next change is the largest item.
"""

import json
import pathlib
from typing import Any

import click

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "FIGURES.md"
_HEAD = """# Figures

Written by `python -m bench.figures ENTRY...` from journal entries of scores;
`journal/` has every run. Shares are of what was owed: 1 would be every request
answered in time at no price. What a day lost is `1 - worth`: first what was
late, refused or failed over the whole day, in the worst two windows and in the
worst kind, each with its weight, then the prices.

"""
_LEAST_PRICE = 0.005  # Prices below this share are added up as the rest.


def _share(parts: list[list[Any]], name: str) -> tuple[float, float]:
    for found, weight, value in parts:
        if found == name:
            return weight, value
    return 0.0, 0.0


def _row(day: dict[str, Any]) -> str:
    lost = []
    for name in ("whole day", "worst windows", "worst class"):
        weight, value = _share(day["parts"], name)
        lost.append(f"{value:.3f} | {weight * (1 - value):.3f}")
    prices = [(name, share) for name, _, share in day["prices"] if share > 0]
    named = [each for each in prices if each[1] >= _LEAST_PRICE]
    named.sort(key=lambda each: -each[1])
    rest = sum(share for _, share in prices) - sum(share for _, share in named)
    text = ", ".join(f"{name} {share:.3f}" for name, share in named)
    return (
        f"| {day['name']} | {day['figure']:.2f} | {day['G']:.3f} "
        f"| {' | '.join(lost)} | {day['refused']:.3f} "
        f"| {day['failed']:.3f} | {text}, rest {rest:.3f} |"
    )


def _table(entry: dict[str, Any]) -> str:
    days = entry["days"]
    mean = sum(day["G"] for day in days) / len(days)
    lines = [
        f"## {entry['site']}",
        "",
        f"Entry {entry['id']} at revision {entry['head'][:7]}: "
        f"score {entry['score']:.3f}, mean worth {mean:.3f}.",
        "",
        "| day | score | worth | whole day | lost | windows | lost "
        "| kind | lost | refused | failed | prices |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
        "| --- |",
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
        f"| {day['name']} | {_shares(day['by_class'])} "
        f"| {_shares(day['by_zone'])} |"
        for day in days
    ]
    return "\n".join(lines) + "\n"


def _shares(values: list[float | None]) -> str:
    return ", ".join("-" if each is None else f"{each:.2f}" for each in values)


@click.command()
@click.argument(
    "entries", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def main(entries: tuple[pathlib.Path, ...]) -> None:
    """Writes docs/FIGURES.md from journal ENTRIES, one for each site."""
    tables = [_table(json.loads(each.read_text())) for each in entries]
    _PAGE.write_text(_HEAD + "\n".join(tables))


if __name__ == "__main__":
    main()
