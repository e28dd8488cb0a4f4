"""Tests of selection by many instances that know loads late."""

import dataclasses
import heapq
import itertools
import random

from tamarackpier.fleet import model
from tamarackpier.traffic import load, relay, selection
from tests import hosted_fixtures

INSTANCES = 60
REPLICAS = 20
ROUND_S = 0.25
# A state takes so many rounds to reach another instance of its zone, or one of
# another zone, at most.
NEAR_ROUNDS = 3
FAR_ROUNDS = 6
ANSWER_S = 1.0
DURATION_S = 12.0
# An answer behind a full replica is late, and a late answer earns a quarter.
# Prices take 0.11 of the worth, and the target for worth is 0.78.
MAX_QUEUED = (1 - 0.78 - 0.11) / 0.75


class _Replicas:
    """Replicas with slots and queues, on a virtual clock.

    Attributes:
        replicas: The replicas as instances see them.
        arrived: Number of requests so far.
        queued: Number of those that found all slots in use.
    """

    def __init__(self, seed, zone_count):
        self.rng = random.Random(seed)
        self.zone_count = zone_count
        self.replicas = [self._replica(index) for index in range(REPLICAS)]
        self.loads = [load.Loads() for _ in range(INSTANCES)]
        self.running = {replica.key: 0 for replica in self.replicas}
        self.arrived = self.queued = 0
        self._events = []
        self._order = itertools.count()

    def run(self, busy_share):
        """Sends requests that keep a share of all slots busy."""
        slots = REPLICAS * hosted_fixtures.SPEC.slots
        rate = busy_share * slots / ANSWER_S
        for index in range(INSTANCES):
            self._add(self.rng.uniform(0, ROUND_S), self._publish, index)
        self._add(0.0, self._arrive, rate)
        while self._events[0][0] < DURATION_S:
            now, _, work, arguments = heapq.heappop(self._events)
            work(now, *arguments)

    def _replica(self, index):
        records = [
            dataclasses.replace(record, availability_zone=self._zone(index))
            for record in hosted_fixtures.replica_records(f"r{index}")
        ]
        key = records[0].membership.key
        return model.Replica(key, "large", 4, tuple(enumerate(records)))

    def _zone(self, index):
        return f"zone-{index % self.zone_count}"

    def _add(self, at, work, *arguments):
        heapq.heappush(self._events, (at, next(self._order), work, arguments))

    def _publish(self, now, index):
        self._add(now + ROUND_S, self._publish, index)
        usages = dict(self.loads[index].own_usages)
        for other, loads in enumerate(self.loads):
            if other != index:
                is_near = self._zone(index) == self._zone(other)
                rounds = NEAR_ROUNDS if is_near else FAR_ROUNDS
                delay_s = self.rng.uniform(0, rounds * ROUND_S)
                self._add(now + delay_s, self._learn, loads, index, usages)

    def _learn(self, now, loads, index, usages):
        loads.update_peer(str(index), usages, now)

    def _arrive(self, now, rate):
        self._add(now + self.rng.expovariate(rate), self._arrive, rate)
        index = self.rng.randrange(INSTANCES)
        loads = self.loads[index]
        criteria = selection.SelectionCriteria(self._zone(index), 500)
        candidates = selection.replica_candidates(
            self.replicas,
            hosted_fixtures.SPEC,
            loads.usage,
            lambda key: 1.0,
            criteria,
        )
        settings = relay.RelaySettings("zone-a", 0.2, 10.0, 10.0)
        choose = selection.CHOOSERS.get(settings.chooser)
        key = choose(candidates, criteria, self.rng).key
        loads.begin(key)
        self.arrived += 1
        self.running[key] += 1
        self.queued += self.running[key] > hosted_fixtures.SPEC.slots
        answer_s = ANSWER_S * self.rng.uniform(0.5, 1.5)
        self._add(now + answer_s, self._end, key, loads)

    def _end(self, now, key, loads):
        self.running[key] -= 1
        loads.end(key)


def test_instances_that_learn_of_loads_late_do_not_crowd_the_same_replicas():
    for seed in (1, 2, 3):
        for zone_count, busy_share in ((1, 0.7), (4, 0.6)):
            replicas = _Replicas(seed, zone_count)
            replicas.run(busy_share)
            assert replicas.queued <= MAX_QUEUED * replicas.arrived
