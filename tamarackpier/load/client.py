"""A client of a deployment that simulates one caller.

The client looks up the addresses of entry instances, caches them, and sends
drafts and orders there. A draft is a streamed chat completion, whose answer
arrives in pieces, one per data event; an order is a call of a plain service
with an idempotency key.

The client follows the rules of docs/OUTCOMES.md for callers: it sends a
request again after a connection error or an error response, unless that
forbids a retry; it waits for the delay in the response first; and it sends
every attempt of an order with the same idempotency key.
"""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any

import aiohttp

from tamarackpier import codes

__all__ = ["Client", "DraftResult", "OrderResult"]

_OK = 200
_MAX_ATTEMPTS = 8
_DEFAULT_RETRY_DELAY_S = 0.5
_ADDRESS_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
_MODEL_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True)
class DraftResult:
    """Outcome of one draft.

    Attributes:
        outcome: Outcome that was reported, or assumed if none was.
        code: Number of the result code; 0 if the answer is complete or no
            code was reported.
        text: Text received in the last attempt.
        address: Entry instance that the last attempt was sent to.
        first_piece_s: Time from the start of the first attempt to the first
            piece of the last attempt, in seconds; None without a piece.
        total_s: Time from the start of the first attempt to the end of the
            last one, in seconds.
        gaps_s: Times between the pieces of the last attempt, in seconds.
        attempts: Number of attempts.
    """

    outcome: codes.Outcome
    code: int
    text: str
    address: str
    first_piece_s: float | None
    total_s: float
    gaps_s: tuple[float, ...]
    attempts: int


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """Outcome of one order.

    Attributes:
        outcome: Outcome that was reported, or assumed if none was.
        code: Number of the result code; 0 if the service answered or no code
            was reported.
        status: HTTP status of the service's answer; 0 without one.
        attempts: Number of attempts.
    """

    outcome: codes.Outcome
    code: int
    status: int
    attempts: int


@dataclasses.dataclass(frozen=True)
class _Failure:
    """An attempt without a complete answer.

    Attributes:
        outcome: Outcome that was reported, or assumed if none was.
        code: Number of the result code; 0 if none was reported.
        retry_after_s: Seconds to wait before a retry; None if the request
            must not be retried.
    """

    outcome: codes.Outcome
    code: int
    retry_after_s: float | None


class Client:
    """Client of one caller of a client account.

    Attributes:
        session: HTTP session for all connections.
        seeds: Addresses of entry instances that can be asked for addresses, in
            addition to those in `addresses`.
        key: Key of the client account.
        availability_zone: Availability zone of the caller; empty if unknown.
        name: Name that distinguishes the callers of a client account.
        rng: Source of randomness for seeds and retry delays.
        addresses: Addresses in the last response.
        cached_until: Monotonic time until which `addresses` may be used.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        seeds: tuple[str, ...],
        key: str,
        availability_zone: str = "",
        name: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self.session = session
        self.seeds = seeds
        self.key = key
        self.availability_zone = availability_zone
        self.name = name
        self.rng = rng or random.Random()
        self.addresses: tuple[str, ...] = ()
        self.cached_until = 0.0

    async def draft(
        self,
        model: str,
        messages: list[dict[str, str]],
        max_tokens: int,
        deadline_s: float = 30.0,
    ) -> DraftResult:
        """Sends a draft, with retries, and reads the streamed answer.

        Args:
            model: Name of the model.
            messages: Messages of the chat.
            max_tokens: Maximum number of tokens in the answer.
            deadline_s: Time for all attempts, in seconds.
        """
        body = {
            "model": model,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": True,
        }
        started_at = time.monotonic()
        reader = _DraftReader(started_at)
        attempts = 0
        while True:
            attempts += 1
            address = await self._address(attempts)
            remaining_s = started_at + deadline_s - time.monotonic()
            failure = await self._try_draft(address, body, reader, remaining_s)
            if failure is None:
                return reader.result(
                    codes.Outcome.COMPLETE, 0, address, attempts
                )
            if not await self._wait_to_retry(
                failure, attempts, started_at + deadline_s
            ):
                return reader.result(
                    failure.outcome, failure.code, address, attempts
                )
            reader.restart()

    async def order(
        self,
        service: str,
        path: str,
        body: dict[str, Any],
        idempotency_key: str,
        deadline_s: float = 20.0,
    ) -> OrderResult:
        """Sends an order, with retries under the same idempotency key.

        Args:
            service: Name of the plain service.
            path: Path within the service.
            body: JSON document of the request.
            idempotency_key: Key that identifies the order.
            deadline_s: Time in which retries may start, in seconds.
        """
        started_at = time.monotonic()
        attempts = 0
        while True:
            attempts += 1
            address = await self._address(attempts)
            status_or_failure = await self._try_order(
                f"http://{address}/v1/services/{service}/{path}",
                body,
                idempotency_key,
            )
            if isinstance(status_or_failure, int):
                return OrderResult(
                    codes.Outcome.COMPLETE, 0, status_or_failure, attempts
                )
            if not await self._wait_to_retry(
                status_or_failure, attempts, started_at + deadline_s
            ):
                return OrderResult(
                    status_or_failure.outcome,
                    status_or_failure.code,
                    0,
                    attempts,
                )

    async def _address(self, attempt: int) -> str:
        """Returns the address for an attempt; each retry uses the next one.

        Args:
            attempt: Number of the attempt, from 1.
        """
        if time.monotonic() >= self.cached_until or attempt > 1:
            await self._look_up_addresses()
        if not self.addresses:
            return self.rng.choice(self.seeds)
        return self.addresses[(attempt - 1) % len(self.addresses)]

    async def _look_up_addresses(self) -> None:
        """Updates the addresses; keeps the old ones if no instance answers."""
        candidates = [*self.addresses, *self.seeds]
        self.rng.shuffle(candidates)
        for candidate in candidates:
            try:
                async with self.session.get(
                    f"http://{candidate}/v1/addresses",
                    params={"client": self.name},
                    headers=self._headers(),
                    timeout=_ADDRESS_TIMEOUT,
                ) as response:
                    document = await response.json()
                    if response.status == _OK:
                        self.addresses = tuple(document["addresses"])
                        self.cached_until = (
                            time.monotonic() + document["keep_s"]
                        )
                        return
            except (TimeoutError, aiohttp.ClientError, ValueError):
                continue

    async def _try_draft(
        self,
        address: str,
        body: dict[str, Any],
        reader: "_DraftReader",
        remaining_s: float,
    ) -> _Failure | None:
        """Makes one attempt; returns its failure, or None on success."""
        headers = self._headers() | {
            "X-Deadline-S": f"{max(remaining_s, 0.1):.3f}"
        }
        try:
            async with self.session.post(
                f"http://{address}{_MODEL_PATH}", json=body, headers=headers
            ) as response:
                if response.status != _OK:
                    return _parse_error(await response.read())
                return await reader.read(response)
        except aiohttp.ClientConnectorError:
            return _Failure(codes.Outcome.NOT_RUN, 0, _DEFAULT_RETRY_DELAY_S)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # Drafts are idempotent, so a broken one may be sent again.
            return _Failure(
                codes.Outcome.INCOMPLETE_STREAM, 0, _DEFAULT_RETRY_DELAY_S
            )

    async def _try_order(
        self, url: str, body: dict[str, Any], idempotency_key: str
    ) -> int | _Failure:
        """Makes one attempt; returns the service's status, or the failure."""
        headers = self._headers() | {"Idempotency-Key": idempotency_key}
        try:
            async with self.session.post(
                url, json=body, headers=headers
            ) as response:
                data = await response.read()
                if response.status < 300:
                    return response.status
                return _parse_error(data)
        except aiohttp.ClientConnectorError:
            return _Failure(codes.Outcome.NOT_RUN, 0, _DEFAULT_RETRY_DELAY_S)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return _Failure(codes.Outcome.UNKNOWN, 0, _DEFAULT_RETRY_DELAY_S)

    async def _wait_to_retry(
        self, failure: _Failure, attempts: int, deadline: float
    ) -> bool:
        """Waits until the request may be sent again.

        Args:
            failure: Failure of the last attempt.
            attempts: Number of attempts so far.
            deadline: Monotonic time after which no retry starts.

        Returns:
            False, without a delay, if the request must not be sent again.
        """
        if failure.retry_after_s is None or attempts >= _MAX_ATTEMPTS:
            return False
        delay_s = failure.retry_after_s * self.rng.uniform(1.0, 1.3)
        if time.monotonic() + delay_s >= deadline:
            return False
        await asyncio.sleep(delay_s)
        return True

    def _headers(self) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self.key}"}
        if self.availability_zone:
            headers["X-Availability-Zone"] = self.availability_zone
        return headers


class _DraftReader:
    """Reads the streamed answer of a draft and measures its timing.

    Attributes:
        started_at: Monotonic time at which the first attempt started.
        first_piece_s: Time from `started_at` to the first piece of the current
            attempt, in seconds; None before that piece.
        texts: Texts of the pieces of the current attempt.
        gaps_s: Times between the pieces of the current attempt, in seconds.
        last_piece_at: Monotonic time of the last piece.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.first_piece_s: float | None = None
        self.restart()

    def restart(self) -> None:
        """Discards the pieces of a failed attempt and their times."""
        self.texts: list[str] = []
        self.gaps_s: list[float] = []
        self.last_piece_at = 0.0
        self.first_piece_s = None

    async def read(self, response: aiohttp.ClientResponse) -> _Failure | None:
        """Reads an answer; returns the failure if it is incomplete."""
        event = ""
        async for line in response.content:
            text = line.decode().rstrip("\n")
            if text.startswith("event: "):
                event = text.removeprefix("event: ")
            if not text.startswith("data: "):
                continue
            data = text.removeprefix("data: ")
            if event == "error":
                return _parse_error(data.encode())
            if data == "[DONE]":
                return None
            self._add_piece(json.loads(data))
        return _Failure(
            codes.Outcome.INCOMPLETE_STREAM, 0, _DEFAULT_RETRY_DELAY_S
        )

    def result(
        self, outcome: codes.Outcome, code: int, address: str, attempts: int
    ) -> DraftResult:
        """Returns the result of the draft, whose last attempt ends now."""
        return DraftResult(
            outcome,
            code,
            "".join(self.texts),
            address,
            self.first_piece_s,
            time.monotonic() - self.started_at,
            tuple(self.gaps_s),
            attempts,
        )

    def _add_piece(self, document: dict[str, Any]) -> None:
        now = time.monotonic()
        if self.first_piece_s is None:
            self.first_piece_s = now - self.started_at
        else:
            self.gaps_s.append(now - self.last_piece_at)
        self.last_piece_at = now
        delta = document["choices"][0]["delta"]
        self.texts.append(delta.get("content", ""))


def _parse_error(data: bytes) -> _Failure:
    """Returns the failure that an error document reports."""
    try:
        error = json.loads(data)["error"]
        outcome = codes.Outcome(error["outcome"])
        retry = codes.Retry(error["retry"])
        number = int(error["code"])
    except (ValueError, KeyError, TypeError):
        return _Failure(codes.Outcome.UNKNOWN, 0, None)
    if retry in (codes.Retry.NO, codes.Retry.AFTER_CHANGE):
        return _Failure(outcome, number, None)
    return _Failure(
        outcome, number, error.get("retry_after_s", _DEFAULT_RETRY_DELAY_S)
    )
