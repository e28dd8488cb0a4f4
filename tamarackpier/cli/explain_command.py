"""The command that explains a request or a replica from log files."""

import json
import pathlib
import sys
from collections.abc import Iterator

import click

from tamarackpier import explain as explain_lib

__all__ = ["explain"]

_MAX_FIELDS_PER_LINE = 10


@click.command()
@click.argument("name")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--replica", is_flag=True, help="NAME is a replica, not a request id."
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print JSON instead of text."
)
def explain(
    name: str, logs: tuple[pathlib.Path, ...], replica: bool, as_json: bool
) -> None:
    """Explains the outcome of a request or of a replica.

    NAME is a request id, or a replica if --replica is given. LOGS are the log
    files of all entry instances. The exit status is 3 if no line matches.
    """
    candidates = list(_read_matching(logs, [name], "matching lines"))
    if replica:
        explanation = explain_lib.explain_replica(name, candidates)
    else:
        request_lines = [
            line for line in candidates if line.get("request") == name
        ]
        names = explain_lib.names_of(request_lines)
        context = (
            _read_matching(logs, names, "replicas and engines")
            if names
            else iter(())
        )
        explanation = explain_lib.explain_request(name, request_lines, context)
    if as_json:
        document = {
            "name": name,
            "cause": explanation.cause,
            "lines": [line.fields for line in explanation.lines],
        }
        click.echo(json.dumps(document))
    else:
        for line in explanation.lines:
            click.echo(_format_line(line))
        click.echo(f"cause: {explanation.cause}")
    if not explanation.lines:
        sys.exit(3)


def _read_matching(
    logs: tuple[pathlib.Path, ...], names: list[str], label: str
) -> Iterator[explain_lib.Line]:
    """Yields the parsed lines that contain any of the names.

    Shows a progress bar with the label on standard error.
    """
    total_bytes = sum(path.stat().st_size for path in logs)
    with click.progressbar(
        length=total_bytes, label=label, file=sys.stderr
    ) as progress_bar:
        for path in logs:
            with path.open("rb") as file:
                yield from explain_lib.matching(
                    _report_progress(file, progress_bar), names
                )


def _report_progress(
    file: Iterator[bytes], progress_bar: object
) -> Iterator[bytes]:
    """Yields the lines of a file; advances a progress bar once per MiB."""
    pending_bytes = 0
    for data in file:
        pending_bytes += len(data)
        if pending_bytes > 1 << 20:
            progress_bar.update(pending_bytes)  # type: ignore[attr-defined]
            pending_bytes = 0
        yield data
    progress_bar.update(pending_bytes)  # type: ignore[attr-defined]


def _format_line(line: explain_lib.Line) -> str:
    shown_fields = [
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in ("time", "level", "instance", "message")
        and value not in ("", None)
    ]
    details = " ".join(shown_fields[:_MAX_FIELDS_PER_LINE])
    return f"{line.time:.3f} {line.instance} {line.message}: {details}"
