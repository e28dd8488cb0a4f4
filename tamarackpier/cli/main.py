"""The program `tamarackpier`."""

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
from tamarackpier.cli import explain_command, load_command, tables
from tamarackpier.request import identify
from tamarackpier.sheet import parse

__all__ = ["main"]

_POLL_S = 0.25

_json_option = click.option(
    "--json", "as_json", is_flag=True, help="Write JSON instead of a table."
)


@click.group()
@click.option(
    "--address",
    "addresses",
    multiple=True,
    envvar="TAMARACKPIER_ADDRESS",
    metavar="HOST:PORT",
    help="Entry instance to ask; repeat it for others to try.",
)
@click.option(
    "--key",
    envvar="TAMARACKPIER_KEY",
    default="",
    help="Operator's key; better given in TAMARACKPIER_KEY.",
)
@click.version_option(package_name="tamarackpier")
@click.pass_context
def main(context: click.Context, addresses: tuple[str, ...], key: str) -> None:
    """Operates a tamarackpier deployment.

    A command ends with status 0, or with the thousands digit of the result
    code that it shows. `tamarackpier code 2008` explains a code. For shell
    completion, evaluate the output of
    `_TAMARACKPIER_COMPLETE=bash_source tamarackpier` (or zsh_source,
    fish_source).
    """
    context.obj = api_lib.Api(addresses, key)


@main.group()
def sheet() -> None:
    """Checks, submits and shows the morning sheet."""


_file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
_patch_option = click.option(
    "--patch", is_flag=True, help="The file changes single rows."
)


@sheet.command("check")
@_file_argument
@_patch_option
@click.option(
    "--offline", is_flag=True, help="Check the form alone, asking nobody."
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
    """Checks a sheet and shows what it would change."""
    if offline:
        parsed = parse.parse(file.read_bytes(), None, patch)
        if not pipeline.is_successful(parsed):
            api_lib.fail(*parsed.failure())
        click.echo(f"{file}: {len(parsed.unwrap())} rows are good")
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
    help="Wait this long for it to be in force on every live instance.",
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
    """Has a sheet accepted; it replaces the one in force."""
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
    """Shows the sheet in force, as CSV that can be submitted again."""
    document = api.call("GET", "/operator/sheet")
    _show(document, as_json, lambda found: found["csv"].rstrip())


@main.command()
@_json_option
@click.pass_obj
def status(api: api_lib.Api, as_json: bool) -> None:
    """Shows an entry instance, its peers and broken invariants."""
    _show(api.call("GET", "/operator/status"), as_json, tables.status)


@main.command()
@_json_option
@click.pass_obj
def counters(api: api_lib.Api, as_json: bool) -> None:
    """Shows counters by reason, and latencies."""
    _show(api.call("GET", "/operator/counters"), as_json, tables.counters)


@main.command()
@click.option(
    "--wait-serving", type=int, default=0, help="Wait for this many to serve."
)
@click.option("--timeout-s", type=float, default=60.0, help="Longest wait.")
@_json_option
@click.pass_obj
def replicas(
    api: api_lib.Api, wait_serving: int, timeout_s: float, as_json: bool
) -> None:
    """Shows the replicas and whether they serve."""
    document = _wait(
        lambda: api.call("GET", "/operator/replicas"),
        lambda found: _serving(found) >= wait_serving,
        lambda found: f"{_serving(found)} of {wait_serving} replicas serve",
        timeout_s,
    )
    _show(document, as_json, tables.replicas)


@main.command()
@_json_option
@click.pass_obj
def events(api: api_lib.Api, as_json: bool) -> None:
    """Shows the events, when their loads begin and what they will lack."""
    _show(api.call("GET", "/operator/events"), as_json, tables.events)


@main.command()
@click.pass_obj
def drain(api: api_lib.Api) -> None:
    """Tells the entry instance at --address to leave gracefully."""
    document = api.call("POST", "/operator/leave")
    click.echo(f"{document['instance']} is leaving")


@main.group()
def quarantine() -> None:
    """Lists and lifts requests that are refused for crashing upstreams."""


@quarantine.command("list")
@_json_option
@click.pass_obj
def list_quarantine(api: api_lib.Api, as_json: bool) -> None:
    """Lists the refused requests by fingerprint."""
    _show(
        api.call("GET", "/operator/quarantine"),
        as_json,
        lambda found: "\n".join(found["refused"]) or "none",
    )


@quarantine.command("lift")
@click.argument("fingerprint")
@click.pass_obj
def lift_quarantine(api: api_lib.Api, fingerprint: str) -> None:
    """Lets a refused request run again."""
    query = {"fingerprint": fingerprint}
    api.call("DELETE", "/operator/quarantine", params=query)
    click.echo(f"{fingerprint} may run again")


@main.command()
@click.argument("number", type=int, required=False)
@_json_option
def code(number: int | None, as_json: bool) -> None:
    """Explains a result code, or lists all of them."""
    if number is None:
        found = [_explain(each) for each in codes.all_codes()]
        _show({"codes": found}, as_json, tables.codes)
        return
    known = codes.by_number(number)
    if known is None:
        detail = f"there is no result code {number}"
        api_lib.fail(codes.fault(codes.COMMAND_BAD_ARGUMENT, detail))
    _show({"codes": [_explain(known)]}, as_json, tables.codes)


@main.command("hash-key")
@click.option(
    "--value",
    prompt="Key",
    hide_input=True,
    envvar="TAMARACKPIER_NEW_KEY",
    help="The key; asked for if it is not given.",
)
def hash_key(value: str) -> None:
    """Prints the form in which the settings hold a key."""
    click.echo(identify.hash_key(value))


main.add_command(load_command.load)
main.add_command(explain_command.explain)


def _explain(known: codes.ResultCode) -> dict[str, Any]:
    document = dataclasses.asdict(known)
    document["outcome"] = known.outcome.value
    document["retry"] = known.retry.value
    document["exit_status"] = known.exit_status
    return document


def _patch_query(patch: bool) -> dict[str, str]:
    return {"patch": "true"} if patch else {}


def _serving(document: dict[str, Any]) -> int:
    return sum(1 for each in document["replicas"] if each["is_serving"])


def _wait_in_force(api: api_lib.Api, version: int, wait_s: float) -> float:
    began = time.monotonic()
    _wait(
        lambda: api.call("GET", "/operator/status"),
        lambda found: _lagging(found, version) == 0,
        lambda found: f"{_lagging(found, version)} instances lack {version}",
        wait_s,
    )
    return round(time.monotonic() - began, 3)


def _lagging(document: dict[str, Any], version: int) -> int:
    return sum(
        1
        for peer in document["peers"]
        if peer["liveness"] == "live" and peer["sheet_version"] < version
    )


def _wait(
    ask: Callable[[], dict[str, Any]],
    is_met: Callable[[dict[str, Any]], bool],
    progress: Callable[[dict[str, Any]], str],
    timeout_s: float,
) -> dict[str, Any]:
    """Asks until a condition is met, showing progress on standard error."""
    deadline = time.monotonic() + timeout_s
    shown = ""
    while True:
        document = ask()
        if is_met(document):
            return document
        message = progress(document)
        if message != shown:
            stamp = datetime.datetime.now().strftime("%H:%M:%S")
            click.echo(f"{stamp} {message}", err=True)
            shown = message
        if time.monotonic() >= deadline:
            api_lib.fail(codes.fault(codes.COMMAND_TIMEOUT, message))
        time.sleep(_POLL_S)


def _show(
    document: dict[str, Any],
    as_json: bool,
    table: Callable[[dict[str, Any]], str],
) -> None:
    if as_json:
        click.echo(json.dumps(document, ensure_ascii=False))
    else:
        click.echo(table(document))


if __name__ == "__main__":
    main()
