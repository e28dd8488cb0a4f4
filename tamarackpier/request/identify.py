"""Authenticates callers by API keys, of which only hashes are stored."""

import dataclasses
import hashlib
import hmac
from collections.abc import Mapping

from returns import result

from tamarackpier import codes, settings

__all__ = ["Identity", "KeyRing", "hash_key"]

_SCHEME = "bearer "


@dataclasses.dataclass(frozen=True)
class Identity:
    """Owner of a key.

    Attributes:
        name: Name of the client account or operator.
        is_operator: Whether the owner is an operator.
    """

    name: str
    is_operator: bool


def hash_key(key: str) -> str:
    """Returns the hexadecimal SHA-256 hash of a key, as in the settings."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """Key hashes of the client accounts or of the operators.

    Attributes:
        hashes: Hexadecimal SHA-256 hash of the key, by owner's name.
        is_operator: Whether the owners are operators.
    """

    def __init__(
        self,
        accounts: Mapping[str, settings.AccountSettings],
        is_operator: bool,
    ) -> None:
        self.hashes = {
            name: account.key_sha256 for name, account in accounts.items()
        }
        self.is_operator = is_operator

    def identify(
        self, authorization: str | None
    ) -> result.Result[Identity, codes.Fault]:
        """Returns the owner of the key in an Authorization header.

        Every known hash is compared, each in constant time, so that timing
        reveals neither a key nor which names exist.

        Args:
            authorization: Value of the header; None if it is absent.

        Returns:
            The owner, or a fault if the header has no key or an unknown one.
        """
        if not authorization or not authorization.lower().startswith(_SCHEME):
            detail = "expected the header Authorization: Bearer KEY"
            return result.Failure(codes.fault(codes.NO_KEY, detail))
        key_sha256 = hash_key(authorization[len(_SCHEME) :].strip())
        matched_name = None
        for name, known_sha256 in self.hashes.items():
            if hmac.compare_digest(known_sha256, key_sha256):
                matched_name = name
        if matched_name is None:
            detail = "the key belongs to no known account or operator"
            return result.Failure(codes.fault(codes.UNKNOWN_KEY, detail))
        return result.Success(Identity(matched_name, self.is_operator))
