"""The command that checks an operator's configuration before it is written."""

import json
import pathlib
import sys

import click
from returns import pipeline

from tamarackpier import codes
from tamarackpier.platform import decode
from tamarackpier.routing import check as check_lib
from tamarackpier.routing import model

__all__ = ["configuration"]

_EXIT_ERRORS = 1
_PATH = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.group()
def configuration() -> None:
    """Checks the operator's configuration of a hosted deployment."""


@configuration.command("check")
@click.argument("file", type=_PATH)
@click.option(
    "--in-force",
    type=_PATH,
    help="The version in force; differences to it are printed.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print JSON instead of text."
)
def check(
    file: pathlib.Path, in_force: pathlib.Path | None, as_json: bool
) -> None:
    """Reports errors, entries that never match, and differences.

    The exit status is 1 if there are errors, else 0. API keys are shown by the
    start of their SHA-256 sum.
    """
    candidate, accounts = _read(file)
    findings = check_lib.check(candidate, accounts)
    changes: tuple[str, ...] = ()
    if in_force is not None:
        current, current_accounts = _read(in_force)
        changes = check_lib.differences(
            current, current_accounts, candidate, accounts
        )
        if candidate.version <= current.version:
            fault = codes.fault(
                codes.VERSION_NOT_NEWER,
                f"version {candidate.version} is not above {current.version}",
            )
            findings = (*findings, check_lib.Finding(fault))
    if as_json:
        _print_json(findings, changes)
    else:
        for finding in findings:
            kind = "error" if finding.is_error else "warning"
            click.echo(f"{kind}: {finding.fault}")
        for change in changes:
            click.echo(f"difference: {change}")
        error_count = sum(finding.is_error for finding in findings)
        click.echo(
            f"{error_count} errors, {len(findings) - error_count} warnings"
        )
    if any(finding.is_error for finding in findings):
        sys.exit(_EXIT_ERRORS)


def _read(
    path: pathlib.Path,
) -> tuple[model.Configuration, tuple[check_lib.AccountEntry, ...]]:
    """Returns a configuration, or exits if it can't be read."""
    data = path.read_bytes()
    decoded = decode.configuration(data)
    entries = decode.account_entries(data)
    for outcome in (decoded, entries):
        if not pipeline.is_successful(outcome):
            click.echo(f"error: {path}: {outcome.failure()}", err=True)
            sys.exit(_EXIT_ERRORS)
    return decoded.unwrap(), tuple(
        check_lib.AccountEntry(account, keys)
        for account, keys in entries.unwrap()
    )


def _print_json(
    findings: tuple[check_lib.Finding, ...], changes: tuple[str, ...]
) -> None:
    document = {
        "findings": [
            {
                "code": finding.fault.code.number,
                "name": finding.fault.code.name,
                "where": finding.fault.where,
                "detail": finding.fault.detail,
                "is_error": finding.is_error,
            }
            for finding in findings
        ],
        "differences": changes,
    }
    click.echo(json.dumps(document))
