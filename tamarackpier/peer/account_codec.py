"""Translates requests in flight by account to and from messages to peers."""

from typing import Any

from tamarackpier.traffic import admission, load
from tamarackpier.wire import entry_pb2

__all__ = ["fields", "receive"]

# Accounts of an instance that messages carry, and that are taken from one.
_MAX_ACCOUNTS = 32
# Largest count that is taken from a message; more than an instance can hold.
_MAX_RUNNING = 1 << 16


def fields(control: admission.AdmissionControl | None) -> dict[str, Any]:
    """Returns the fields of an `EntryState`: the accounts with most requests.

    Args:
        control: Admission control of this instance; None if it has none, and
            sends no accounts.
    """
    if control is None:
        return {}
    running = sorted(
        (
            (max(0, usage.running), account)
            for account, usage in control.accounts.own_usages.items()
        ),
        key=lambda item: (-item[0], item[1]),
    )[:_MAX_ACCOUNTS]
    return {
        "accounts": [account for _, account in running],
        "accounts_running": [count for count, _ in running],
    }


def receive(
    control: admission.AdmissionControl | None,
    peer_id: str,
    state: entry_pb2.EntryState,
    now: float,
) -> None:
    """Replaces what is known of a peer's accounts by its new state.

    Args:
        control: Admission control of this instance; None if it has none.
        peer_id: ID of the peer.
        state: State of the peer; one of an earlier build names no accounts.
        now: Monotonic time in seconds.
    """
    if control is None:
        return
    accounts = zip(
        state.accounts[:_MAX_ACCOUNTS], state.accounts_running, strict=False
    )
    control.accounts.update_peer(
        peer_id,
        {
            account: load.Usage(min(running, _MAX_RUNNING))
            for account, running in accounts
        },
        now,
    )
