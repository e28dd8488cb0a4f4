"""Client of the operators' HTTP endpoints for the command line."""

import asyncio
import json
import sys
from typing import Any, NoReturn

import aiohttp
import click

from tamarackpier import codes

__all__ = ["Api", "fail"]

_TIMEOUT = aiohttp.ClientTimeout(total=30.0, sock_connect=2.0)
_FIRST_ERROR_STATUS = 300  # Lowest HTTP status of a failed request.


def fail(*faults: codes.Fault) -> NoReturn:
    """Prints faults to standard error and exits the process.

    The exit status is that of the first fault.
    """
    for fault in faults:
        click.echo(str(fault), err=True)
    sys.exit(faults[0].code.exit_status)


class Api:
    """Client of the operators' endpoints.

    Attributes:
        addresses: Host and port of each entry instance, tried in order.
        key: Key of the operator.
    """

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        self.addresses = addresses
        self.key = key

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Sends a request to the first entry instance that is reachable.

        Exits the process if the client has no address or no key, if no instance
        is reachable, if the outcome of the request is unknown, or if the
        response is not JSON or reports a fault.

        Args:
            method: HTTP method.
            path: Path of the endpoint.
            body: Body of the request; None for an empty one.
            params: Query parameters.

        Returns:
            The JSON document in the response.
        """
        if not self.addresses or not self.key:
            detail = (
                "set --address and --key, or TAMARACKPIER_ADDRESS and "
                "TAMARACKPIER_KEY"
            )
            fail(codes.fault(codes.COMMAND_BAD_ARGUMENT, detail))
        return asyncio.run(self._call(method, path, body, params or {}))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: dict[str, str],
    ) -> dict[str, Any]:
        connection_errors = []
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            for address in self.addresses:
                try:
                    async with session.request(
                        method,
                        f"http://{address}{path}",
                        data=body,
                        params=params,
                        headers={"Authorization": f"Bearer {self.key}"},
                    ) as response:
                        data = await response.read()
                        return _parse_response(response.status, data)
                except aiohttp.ClientConnectorError as error:
                    connection_errors.append(str(error))
                except (TimeoutError, aiohttp.ClientError) as error:
                    # The instance may have carried out the request, so the
                    # request is not sent to another one.
                    detail = f"{address}: {error!r}"
                    fail(codes.fault(codes.OUTCOME_UNKNOWN, detail))
        fail(
            codes.fault(codes.COMMAND_UNREACHABLE, "; ".join(connection_errors))
        )


def _parse_response(status: int, data: bytes) -> dict[str, Any]:
    """Returns the document in a response; exits if the request failed."""
    try:
        document = json.loads(data)
    except ValueError:
        fail(
            codes.fault(
                codes.COMMAND_UNREACHABLE,
                f"response is not JSON; HTTP status {status}",
            )
        )
    if status >= _FIRST_ERROR_STATUS:
        fail(*(_parse_fault(error) for error in document["errors"]))
    return document


def _parse_fault(error_document: dict[str, Any]) -> codes.Fault:
    # A number that this program does not know becomes COMMAND_UNREACHABLE.
    code = codes.by_number(error_document["code"]) or codes.COMMAND_UNREACHABLE
    return codes.fault(
        code,
        error_document["message"],
        error_document.get("where", ""),
        error_document.get("retry_after_s"),
    )
