"""The program `tamarackpier`, the command line of operators."""

import dataclasses
import datetime
import json
import pathlib
import time
from collections.abc import Callable
from typing import Any

import click
from returns import pipeline

from tamarackpier import codes
from tamarackpier.cli import api as api_lib
from tamarackpier.cli import (
    configuration_command,
    explain_command,
    load_command,
    tables,
)
from tamarackpier.request import identify
from tamarackpier.sheet import parse

__all__ = ["main"]

_POLL_INTERVAL_S = 0.25

_json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON instead of text."
)


@click.group()
@click.option(
    "--address",
    "addresses",
    multiple=True,
    envvar="TAMARACKPIER_ADDRESS",
    metavar="HOST:PORT",
    help="Entry instance to call; repeat the option for alternatives.",
)
@click.option(
    "--key",
    envvar="TAMARACKPIER_KEY",
    default="",
    help="Operator's key; preferably set in TAMARACKPIER_KEY.",
)
@click.version_option(package_name="tamarackpier")
@click.pass_context
def main(context: click.Context, addresses: tuple[str, ...], key: str) -> None:
    """Operates a tamarackpier deployment.

    A command exits with status 0, or with the thousands digit of the result
    code that it prints. `tamarackpier code 2008` explains a code. For shell
    completion, evaluate the output of
    `_TAMARACKPIER_COMPLETE=bash_source tamarackpier` (or zsh_source,
    fish_source).
    """
    context.obj = api_lib.Api(addresses, key)


@main.group()
def sheet() -> None:
    """Checks, submits and prints the morning sheet."""


_file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
_patch_option = click.option(
    "--patch", is_flag=True, help="The file is a patch of single rows."
)


@sheet.command("check")
@_file_argument
@_patch_option
@click.option(
    "--offline",
    is_flag=True,
    help="Check the format only, without an entry instance.",
)
@_json_option
@click.pass_obj
def check_sheet(
    api: api_lib.Api,
    file: pathlib.Path,
    patch: bool,
    offline: bool,
    as_json: bool,
) -> None:
    """Checks a sheet and prints the changes that it would make."""
    if offline:
        parsed = parse.parse(file.read_bytes(), None, patch)
        if not pipeline.is_successful(parsed):
            api_lib.fail(*parsed.failure())
        click.echo(f"{file}: {len(parsed.unwrap())} rows are valid")
        return
    document = api.call(
        "POST", "/operator/sheet/check", file.read_bytes(), _patch_query(patch)
    )
    _show(document, as_json, tables.changes)


@sheet.command("submit")
@_file_argument
@_patch_option
@click.option(
    "--base", type=int, help="Submit only if this version is in force."
)
@click.option(
    "--wait-s",
    type=float,
    default=0.0,
    help="Longest wait until every live instance has it in force, in seconds.",
)
@_json_option
@click.pass_obj
def submit_sheet(
    api: api_lib.Api,
    file: pathlib.Path,
    patch: bool,
    base: int | None,
    wait_s: float,
    as_json: bool,
) -> None:
    """Submits a sheet, which replaces the one in force once accepted."""
    query = _patch_query(patch)
    if base is not None:
        query["base"] = str(base)
    document = api.call("POST", "/operator/sheet", file.read_bytes(), query)
    if wait_s > 0:
        document["in_force_after_s"] = _wait_in_force(
            api, document["version"], wait_s
        )
    _show(document, as_json, tables.accepted)


@sheet.command("show")
@_json_option
@click.pass_obj
def show_sheet(api: api_lib.Api, as_json: bool) -> None:
    """Prints the sheet in force, as CSV that can be submitted again."""
    document = api.call("GET", "/operator/sheet")
    _show(
        document, as_json, lambda sheet_document: sheet_document["csv"].rstrip()
    )


@main.command()
@_json_option
@click.pass_obj
def status(api: api_lib.Api, as_json: bool) -> None:
    """Prints an entry instance's state, peers and broken invariants."""
    _show(api.call("GET", "/operator/status"), as_json, tables.status)


@main.command()
@_json_option
@click.pass_obj
def counters(api: api_lib.Api, as_json: bool) -> None:
    """Prints counters by reason, and latencies."""
    _show(api.call("GET", "/operator/counters"), as_json, tables.counters)


@main.command()
@click.option(
    "--wait-serving",
    type=int,
    default=0,
    help="Wait until this many replicas serve.",
)
@click.option(
    "--timeout-s", type=float, default=60.0, help="Longest wait, in seconds."
)
@_json_option
@click.pass_obj
def replicas(
    api: api_lib.Api, wait_serving: int, timeout_s: float, as_json: bool
) -> None:
    """Prints the replicas and whether they serve."""
    document = _poll_until(
        lambda: api.call("GET", "/operator/replicas"),
        lambda listing: _count_serving(listing) >= wait_serving,
        lambda listing: (
            f"{_count_serving(listing)} of {wait_serving} replicas serve"
        ),
        timeout_s,
    )
    _show(document, as_json, tables.replicas)


@main.command()
@_json_option
@click.pass_obj
def events(api: api_lib.Api, as_json: bool) -> None:
    """Prints the events, the start of their loading and their shortfalls."""
    _show(api.call("GET", "/operator/events"), as_json, tables.events)


@main.command()
@click.pass_obj
def drain(api: api_lib.Api) -> None:
    """Begins a graceful shutdown of the entry instance at --address."""
    document = api.call("POST", "/operator/leave")
    click.echo(f"{document['instance']} is leaving")


@main.group()
def quarantine() -> None:
    """Lists and lifts refusals of requests that crash upstreams."""


@quarantine.command("list")
@_json_option
@click.pass_obj
def list_quarantine(api: api_lib.Api, as_json: bool) -> None:
    """Lists suspects; requests with one are refused or run alone."""
    _show(
        api.call("GET", "/operator/quarantine"),
        as_json,
        lambda quarantined: "\n".join(quarantined["refused"]) or "none",
    )


@quarantine.command("lift")
@click.argument("fingerprint")
@click.pass_obj
def lift_quarantine(api: api_lib.Api, fingerprint: str) -> None:
    """Lifts the refusal of requests with a fingerprint."""
    query = {"fingerprint": fingerprint}
    api.call("DELETE", "/operator/quarantine", params=query)
    click.echo(f"{fingerprint} may run again")


@main.command()
@click.argument("number", type=int, required=False)
@_json_option
def code(number: int | None, as_json: bool) -> None:
    """Explains a result code, or lists all of them."""
    if number is None:
        documents = [_code_document(entry) for entry in codes.all_codes()]
        _show({"codes": documents}, as_json, tables.codes)
        return
    result_code = codes.by_number(number)
    if result_code is None:
        detail = f"no result code has the number {number}"
        api_lib.fail(codes.fault(codes.COMMAND_BAD_ARGUMENT, detail))
    _show({"codes": [_code_document(result_code)]}, as_json, tables.codes)


@main.command("hash-key")
@click.option(
    "--value",
    prompt="Key",
    hide_input=True,
    envvar="TAMARACKPIER_NEW_KEY",
    help="The key; prompted for if it is not given.",
)
def hash_key(value: str) -> None:
    """Prints the hash of a key, as it is written in the settings."""
    click.echo(identify.hash_key(value))


main.add_command(load_command.load)
main.add_command(explain_command.explain)
main.add_command(configuration_command.configuration)


def _code_document(result_code: codes.ResultCode) -> dict[str, Any]:
    document = dataclasses.asdict(result_code)
    document["outcome"] = result_code.outcome.value
    document["retry"] = result_code.retry.value
    document["exit_status"] = result_code.exit_status
    return document


def _patch_query(patch: bool) -> dict[str, str]:
    return {"patch": "true"} if patch else {}


def _count_serving(document: dict[str, Any]) -> int:
    return sum(1 for replica in document["replicas"] if replica["is_serving"])


def _wait_in_force(api: api_lib.Api, version: int, wait_s: float) -> float:
    """Waits until all live instances have a sheet in force.

    Exits the process with `COMMAND_TIMEOUT` after `wait_s` seconds.

    Returns:
        The time that it took, in seconds.
    """
    started_at = time.monotonic()
    _poll_until(
        lambda: api.call("GET", "/operator/status"),
        lambda report: _count_outdated(report, version) == 0,
        lambda report: (
            f"{_count_outdated(report, version)} live instances have not "
            f"adopted sheet version {version}"
        ),
        wait_s,
    )
    return round(time.monotonic() - started_at, 3)


def _count_outdated(document: dict[str, Any], version: int) -> int:
    """Returns the number of live peers with an older sheet version."""
    return sum(
        1
        for peer in document["peers"]
        if peer["liveness"] == "live" and peer["sheet_version"] < version
    )


def _poll_until(
    fetch: Callable[[], dict[str, Any]],
    is_met: Callable[[dict[str, Any]], bool],
    describe: Callable[[dict[str, Any]], str],
    timeout_s: float,
) -> dict[str, Any]:
    """Polls a document until it meets a condition.

    Prints each change of the progress to standard error, and exits the
    process with `COMMAND_TIMEOUT` once the time is over.

    Args:
        fetch: Returns the current document.
        is_met: Whether a document meets the condition.
        describe: Returns the progress that a document shows, in one line.
        timeout_s: Longest wait, in seconds.

    Returns:
        The first document that meets the condition.
    """
    deadline = time.monotonic() + timeout_s
    last_message = ""
    while True:
        document = fetch()
        if is_met(document):
            return document
        message = describe(document)
        if message != last_message:
            local_time = datetime.datetime.now().strftime("%H:%M:%S")
            click.echo(f"{local_time} {message}", err=True)
            last_message = message
        if time.monotonic() >= deadline:
            api_lib.fail(codes.fault(codes.COMMAND_TIMEOUT, message))
        time.sleep(_POLL_INTERVAL_S)


def _show(
    document: dict[str, Any],
    as_json: bool,
    format_text: Callable[[dict[str, Any]], str],
) -> None:
    """Prints a document as JSON or as text."""
    if as_json:
        click.echo(json.dumps(document, ensure_ascii=False))
    else:
        click.echo(format_text(document))


if __name__ == "__main__":
    main()
