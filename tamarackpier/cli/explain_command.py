"""The command that explains a request or a replica from logs."""

import json
import pathlib
import sys
from collections.abc import Iterator

import click

from tamarackpier import explain as explain_lib

__all__ = ["explain"]

_SHOWN_FIELDS = 10


@click.command()
@click.argument("name")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--replica", is_flag=True, help="NAME is a replica, not a request's id."
)
@click.option(
    "--json", "as_json", is_flag=True, help="Write JSON instead of lines."
)
def explain(
    name: str, logs: tuple[pathlib.Path, ...], replica: bool, as_json: bool
) -> None:
    """Says from LOGS of all instances what became of NAME, and why."""
    first = list(_matching(logs, [name], "lines of it"))
    if replica:
        found = explain_lib.explain_replica(name, first)
    else:
        own = [each for each in first if each.get("request") == name]
        names = explain_lib.names_of(own)
        around = _matching(logs, names, "what it met") if names else iter(())
        found = explain_lib.explain_request(name, own, around)
    if as_json:
        document = {
            "name": name,
            "cause": found.cause,
            "lines": [each.fields for each in found.lines],
        }
        click.echo(json.dumps(document))
    else:
        for line in found.lines:
            click.echo(_text(line))
        click.echo(f"cause: {found.cause}")
    if not found.lines:
        sys.exit(3)


def _matching(
    logs: tuple[pathlib.Path, ...], names: list[str], label: str
) -> Iterator[explain_lib.Line]:
    total = sum(each.stat().st_size for each in logs)
    with click.progressbar(
        length=total, label=label, file=sys.stderr
    ) as progress:
        for path in logs:
            with path.open("rb") as file:
                yield from explain_lib.matching(_counted(file, progress), names)


def _counted(file: Iterator[bytes], progress: object) -> Iterator[bytes]:
    pending = 0
    for data in file:
        pending += len(data)
        if pending > 1 << 20:
            progress.update(pending)  # type: ignore[attr-defined]
            pending = 0
        yield data
    progress.update(pending)  # type: ignore[attr-defined]


def _text(line: explain_lib.Line) -> str:
    shown = [
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in ("time", "level", "instance", "message")
        and value not in ("", None)
    ]
    details = " ".join(shown[:_SHOWN_FIELDS])
    return f"{line.time:.3f} {line.instance} {line.message}: {details}"
