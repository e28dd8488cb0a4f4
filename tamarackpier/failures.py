"""Helpers for adapters that convert exceptions into failures."""

from typing import Any

from returns import result

from tamarackpier import codes

__all__ = ["MALFORMED", "describe", "failure"]

# Exceptions that decoding may raise if a document has an unexpected structure;
# `RecursionError` if it is nested too deeply.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def describe(error: BaseException) -> str:
    """Returns an exception's type and message."""
    return f"{type(error).__name__}: {error}".rstrip(": ")


def failure(
    code: codes.ResultCode, detail: str
) -> result.Result[Any, codes.Fault]:
    """Returns a failed result that holds one fault."""
    return result.Failure(codes.fault(code, detail))
