"""Translates the platform's contracts into features of the product."""

from collections.abc import Iterable

from tamarackpier import features as features_lib

__all__ = ["features"]

# No contract asks for OFFERED_LOAD yet: with it a wide model that few requests
# ask for is served too little while loads of weights are scarce.
_FEATURES_BY_CONTRACT = {
    "pool": frozenset(
        (
            features_lib.Feature.ADMISSION,
            features_lib.Feature.KEPT_CONNECTIONS,
        )
    ),
}


def features(contracts: Iterable[str]) -> frozenset[features_lib.Feature]:
    """Returns the features that contracts ask for; unknown ones ask for none.

    Args:
        contracts: Names of the contracts in force.
    """
    asked: frozenset[features_lib.Feature] = frozenset()
    for contract in contracts:
        asked |= _FEATURES_BY_CONTRACT.get(contract, frozenset())
    return asked
