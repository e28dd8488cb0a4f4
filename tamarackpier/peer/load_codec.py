"""Converts requests in flight and offered loads to wire messages and back."""

import binascii
import itertools
from collections.abc import Iterable

from tamarackpier.fleet import fleet_view, model
from tamarackpier.traffic import load, offered_load, relay
from tamarackpier.wire import entry_pb2

__all__ = ["LoadCodec", "hash_of"]

_S_PER_MINUTE = 60
_MAX_UINT32 = 0xFFFFFFFF


class LoadCodec:
    """Adds the loads of this instance to messages and keeps those of peers.

    Messages name replicas, engines and models by hashes.

    Attributes:
        relay: Relay of this instance, with the loads of all instances.
        fleet: View of the engines.
        sends_offered: Whether messages state the offered loads.
    """

    def __init__(
        self, request_relay: relay.Relay, fleet: fleet_view.FleetView
    ) -> None:
        self.relay = request_relay
        self.fleet = fleet
        self.sends_offered = False
        self._hashed_replicas: object = None
        self._replica_keys_by_hash: dict[int, model.ReplicaKey] = {}
        self._engine_ids_by_hash: dict[int, str] = {}

    def add_loads(self, state: entry_pb2.EntryState, now: float) -> None:
        """Adds the loads of this instance to its state.

        Args:
            state: The state; changed.
            now: Monotonic time in seconds.
        """
        replica_usages = self.relay.replica_loads.own_usages
        engine_usages = self.relay.engine_loads.own_usages
        usages = replica_usages.values()
        state.replicas.extend(_key_hash(key) for key in replica_usages)
        state.running.extend(max(0, usage.running) for usage in usages)
        state.reading_tokens.extend(
            max(0, usage.reading_tokens) for usage in usages
        )
        state.engines.extend(hash_of(engine_id) for engine_id in engine_usages)
        state.engines_running.extend(
            max(0, usage.running) for usage in engine_usages.values()
        )
        state.bound.extend(_unless_all_zero(usage.bound for usage in usages))
        if not self.sends_offered:
            return
        for key, offered in self.relay.offered.own(now).items():
            state.offered_models.append(_model_hash(key))
            state.offered_rates.append(_per_minute(offered.rate))
            state.unserved_rates.append(_per_minute(offered.unserved_rate))
            state.offered_tokens.append(
                min(_MAX_UINT32, round(offered.prompt_tokens))
            )

    def receive(
        self, peer_id: str, state: entry_pb2.EntryState, now: float
    ) -> None:
        """Replaces the loads of a peer by those of its state.

        Args:
            peer_id: ID of the peer.
            state: State of the peer.
            now: Monotonic time in seconds.
        """
        self._update_hashes()
        replica_keys_by_hash = self._replica_keys_by_hash
        # A peer without such requests, or of an earlier build, sends none.
        bound = state.bound or itertools.repeat(0)
        replicas = zip(
            state.replicas,
            state.running,
            state.reading_tokens,
            bound,
            strict=False,
        )
        self.relay.replica_loads.update_peer(
            peer_id,
            {
                replica_keys_by_hash[replica_hash]: load.Usage(
                    running, reading_tokens, bound_count
                )
                for (
                    replica_hash,
                    running,
                    reading_tokens,
                    bound_count,
                ) in replicas
                if replica_hash in replica_keys_by_hash
            },
            now,
        )
        if state.engines or peer_id in self.relay.engine_loads.peers:
            engine_ids_by_hash = self._engine_ids_by_hash
            engines = zip(state.engines, state.engines_running, strict=False)
            self.relay.engine_loads.update_peer(
                peer_id,
                {
                    engine_ids_by_hash[engine_hash]: load.Usage(running)
                    for engine_hash, running in engines
                    if engine_hash in engine_ids_by_hash
                },
                now,
            )
        if state.offered_models or peer_id in self.relay.offered.peers:
            self._receive_offered(peer_id, state, now)

    def _receive_offered(
        self, peer_id: str, state: entry_pb2.EntryState, now: float
    ) -> None:
        """Replaces the offered loads of a peer; unknown models are left out."""
        keys_by_hash = {_model_hash(key): key for key in self._models()}
        items = zip(
            state.offered_models,
            state.offered_rates,
            state.unserved_rates,
            state.offered_tokens,
            strict=False,
        )
        self.relay.offered.update_peer(
            peer_id,
            {
                keys_by_hash[model_hash]: offered_load.Offered(
                    rate / _S_PER_MINUTE,
                    min(rate, unserved_rate) / _S_PER_MINUTE,
                    tokens,
                )
                for model_hash, rate, unserved_rate, tokens in items
                if model_hash in keys_by_hash
            },
            now,
        )

    def _models(self) -> list[offered_load.Key]:
        """Returns the service and name of each configured model."""
        if self.relay.routing is None:
            return []
        services = self.relay.routing.configuration.services.values()
        return [
            (service.name, model_spec.name)
            for service in services
            if service.engine is not None
            for model_spec in service.engine.models
        ]

    def _update_hashes(self) -> None:
        """Updates the maps from hashes in messages to replicas and engines.

        Only engines of plain services are included; these have no domain.
        """
        replicas = self.fleet.replicas()
        if self._hashed_replicas is replicas:
            return
        self._hashed_replicas = replicas
        self._replica_keys_by_hash = {_key_hash(key): key for key in replicas}
        self._engine_ids_by_hash = {
            hash_of(engine.id): engine.id
            for engine in self.fleet.engines.values()
            if not engine.domain
        }


def hash_of(text: str) -> int:
    """Returns the hash that names something in messages."""
    return binascii.crc32(text.encode())


def _key_hash(key: model.ReplicaKey) -> int:
    return hash_of(f"{key.replica}/{key.fence}")


def _model_hash(key: offered_load.Key) -> int:
    return hash_of("/".join(key))


def _per_minute(rate: float) -> int:
    return min(_MAX_UINT32, round(rate * _S_PER_MINUTE))


def _unless_all_zero(counts: Iterable[int]) -> list[int]:
    """Returns counts; none if all are zero."""
    values = [max(0, count) for count in counts]
    return values if any(values) else []
