"""Encodes sheets as JSON for the object store and for peers."""

import dataclasses
import hashlib
import json
from typing import Any

from tamarackpier.sheet import model

__all__ = ["decode", "digest", "encode"]


def encode(sheet: model.Sheet) -> bytes:
    """Returns the encoding of a sheet; equal sheets have equal encodings."""
    rows = [dataclasses.astuple(row) for row in sheet.rows]
    document = {"version": sheet.version, "rows": rows}
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes) -> model.Sheet:
    """Returns the sheet that `encode` has encoded.

    Raises:
        ValueError: The data is not an encoded sheet.
    """
    try:
        document: Any = json.loads(data)
        rows = tuple(model.SheetRow(*cells) for cells in document["rows"])
        return model.Sheet(int(document["version"]), rows)
    except (KeyError, RecursionError, TypeError, ValueError) as error:
        raise ValueError(f"invalid sheet encoding: {error}") from error


def digest(sheet: model.Sheet) -> str:
    """Returns the SHA-256 digest of a sheet's rows, in hexadecimal.

    The digest does not depend on the sheet's version.
    """
    return hashlib.sha256(encode(model.Sheet(0, sheet.rows))).hexdigest()
