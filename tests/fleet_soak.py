"""Random outages of the store before whole fleets on a virtual clock.

Checks that what one instance learns is in force at all in time: the
configuration, revoked keys, engines that left and evacuated zones. Run by hand
with `python -m tests.fleet_soak --count 69 --seeds 0 50`; `--evacuate` plays
evacuations instead, `--spread` measures how long each kind of news takes.
"""

import argparse
import contextlib
import dataclasses
import random

from tamarackpier import quarantine
from tamarackpier.fleet import departures
from tamarackpier.traffic import rate_limits
from tests import virtual_fleet

# Bounds of deployments by their number of instances, in seconds: the time for
# a change, and the time after an outage from which it holds.
BOUNDS = ((50, 2.0, 3.0), (150, 3.0, 4.0), (1000, 4.0, 5.0))
EVACUATE_S = 5.0
SPREAD_OUTAGES = (*virtual_fleet.ALL_OUTAGES, virtual_fleet.Outage.SLOW)
# Time by which an evacuation may take longer while the store is unstable.
STRETCH_S = 6.0
# Time until a fleet works at a new speed, in seconds.
_SLOWED_S = 3.0
# Time after the start in which a new instance must be ready, in seconds.
_NEW_READY_S = 10.0
# Time from a change until peers stand still, in seconds.
STILL_AFTER_S = 0.15
# Longest time for which a change is waited for, in seconds.
LONGEST_S = 12.0
_SHARES = (0.35, 0.35, 0.7, 1.0)
_OUTAGES_S = (0.3, 1.0, 2.0, 4.0, 6.0, 9.0)
_PAUSES_S = (0.0, 0.3, 1.5, 4.0)


@dataclasses.dataclass(frozen=True)
class Late:
    """A change that took effect late.

    Attributes:
        seed: Seed of the run.
        outage: The outage before.
        share: Share of the instances that it met.
        lasted_s: How long it lasted, in seconds.
        pause_s: Time from its end to the change, in seconds.
        change: What changed.
        lag_s: Time until the last instance had it, in seconds.
        instances: IDs of some of the instances that were late.
    """

    seed: int
    outage: str
    share: float
    lasted_s: float
    pause_s: float
    change: str
    lag_s: float
    instances: tuple[str, ...]


def create_fleet(count, seed, engine_count=12, evacuate_s=0.0):
    """Returns a settled fleet with the bounds of its size."""
    _, bound_s, window_s = next(row for row in BOUNDS if count <= row[0])
    fleet = virtual_fleet.Fleet(
        count, bound_s, window_s, seed, engine_count, evacuate_s
    )
    fleet.settle()
    return fleet


def play(count, seed, rounds=6, loses_links=False):
    """Plays random outages, each with changes after it.

    Args:
        count: Number of instances.
        seed: Seed of the run.
        rounds: Number of outages.
        loses_links: Whether in each round some instances lose their links to
            others, or some stand still from the change on.

    Returns:
        The changes that took effect late, and the longest lag in seconds.
    """
    late = []
    longest_s = 0.0
    with contextlib.closing(create_fleet(count, seed, rounds)) as fleet:
        harm_rng = random.Random(seed)
        for index in range(rounds):
            harm = None
            if loses_links:
                harm = PeerTrouble(
                    harm_rng.choice((0.0, 0.25, 0.5)),
                    harm_rng.random() < 0.5,
                    harm_rng.random() < 0.5,
                )
            one = _play_round(fleet, seed, f"o{index}", harm)
            longest_s = max(longest_s, one.lag_s)
            if one.lag_s > fleet.bound_s:
                late.append(one)
    return late, longest_s


def slow_down(fleet, mean_s):
    """Lets messages and the store's answers take longer.

    Args:
        fleet: A settled fleet.
        mean_s: Mean time of each, in seconds.
    """
    fleet.peer_latency_s = lambda: fleet.rng.expovariate(1.0 / mean_s)
    fleet.store.latency_s = mean_s
    fleet.wait(_SLOWED_S)


@dataclasses.dataclass(frozen=True)
class PeerTrouble:
    """Peers that instances without the store can't reach.

    Attributes:
        share: Share of the other instances that can't be reached; 0 for a
            single one.
        stands_still: Whether they stand still, soon after the change. If not,
            their links to the instances without the store are lost before.
        is_random: Whether they are chosen at random. If not, they have the
            highest IDs.
        zone: Zone that none of them is outside of; empty for any.
    """

    share: float
    stands_still: bool
    is_random: bool = False
    zone: str = ""

    def choose(self, fleet, met):
        """Returns the IDs of the peers that can't be reached.

        Args:
            fleet: The fleet.
            met: IDs of the instances without the store.
        """
        others = sorted(set(fleet.ids()) - set(met))
        if self.zone:
            others = zone_ids(fleet, self.zone)
        count = min(len(others), max(1, round(self.share * len(others))))
        if self.is_random:
            return fleet.rng.sample(others, count)
        return others[-count:]


PEER_TROUBLES = {
    "none": None,
    "links to the highest lost": PeerTrouble(0.0, False),
    "links to a quarter lost": PeerTrouble(0.25, False),
    "links to half lost": PeerTrouble(0.5, False),
    "links to a random half lost": PeerTrouble(0.5, False, True),
    "the highest stands still": PeerTrouble(0.0, True),
    "a quarter stands still": PeerTrouble(0.25, True, True),
    "half stand still": PeerTrouble(0.5, True, True),
    "the highest half stands still": PeerTrouble(0.5, True),
    "links to a zone lost": PeerTrouble(1.0, False, zone="zone-2"),
    "a zone stands still": PeerTrouble(1.0, True, zone="zone-2"),
}


def zone_ids(fleet, zone):
    """Returns the IDs of the instances of a zone."""
    return [
        instance.settings.instance.id
        for instance in fleet.instances
        if instance.settings.instance.availability_zone == zone
    ]


def _lose_links(fleet, some, others):
    """Loses the links between two groups of instances."""
    some, others = set(some), set(others)
    fleet.has_link = lambda caller_id, callee_id: (
        not (
            (caller_id in some and callee_id in others)
            or (caller_id in others and callee_id in some)
        )
    )


def spread_lags(fleet, outage, share=1.0 / 3.0, met=None, trouble=None):
    """Returns after how many seconds all instances know what one has learned.

    Meanwhile a share of the instances can't reach the store. Where zones can
    be evacuated, one is. Instances that stand still needn't know.

    Args:
        fleet: A settled fleet with engines o0 to o3.
        outage: The outage that the share meets.
        share: Share of the instances that it meets.
        met: IDs of the instances that it meets instead of a random share.
        trouble: Peers that these can't reach either; None for none.

    Returns:
        The lags in seconds by what was learned.
    """
    if met is None:
        met = fleet.ids(share)
    fleet.store.begin_outage(met, outage)
    unreachable = trouble.choose(fleet, met) if trouble else []
    if trouble and not trouble.stands_still:
        _lose_links(fleet, met, unreachable)
    fleet.wait(fleet.rng.uniform(1.0, 6.0))
    now = fleet.loop.time()
    sources = fleet.rng.sample(
        [
            instance
            for instance in fleet.instances
            if instance.settings.instance.id not in unreachable
        ],
        3,
    )
    sources[0].relay.record_departure(departures.Departure("o0", 1), "test")
    sources[1].relay.limits.record(rate_limits.Limit("o1", 1, 2.5, now))
    deaths = [quarantine.Crash("f", f"x{n}@1", now) for n in range(3)]
    sources[2].relay.quarantine.add(deaths)
    fleet.configure()
    fleet.put_engine("new")
    fleet.drop_engine("o2")
    fleet.put_engine("o3", is_leaving=True)
    known_by = {
        "departure": lambda one: one.fleet.engines["o0"].is_leaving,
        "limit": lambda one: "o1" in one.relay.limits.shares,
        "suspect": lambda one: "f" in one.relay.quarantine.crashes,
        "configuration and keys": lambda one: (
            one.configuration.version >= fleet.version
        ),
        "rows": lambda one: "new" in one.fleet.engines,
        "removed row": lambda one: "o2" not in one.fleet.engines,
        "leaving row": lambda one: one.fleet.engines["o3"].is_leaving,
    }
    if fleet.evacuate_s:
        fleet.evacuate("zone-2")
        known_by["evacuation"] = lambda one: (
            "zone-2" in one.fleet.evacuations.zones()
        )
    if trouble and trouble.stands_still:
        fleet.wait(STILL_AFTER_S)
        fleet.stand_still(unreachable)
    lags = {}
    while len(lags) < len(known_by) and fleet.loop.time() - now < LONGEST_S:
        for kind, knows in known_by.items():
            if kind not in lags and all(map(knows, fleet.moving())):
                lags[kind] = round(fleet.loop.time() - now, 2)
        fleet.wait(0.02)
    fleet.store.end_outage(met)
    return {kind: lags.get(kind, float("inf")) for kind in known_by}


def play_evacuations(count, seed):
    """Evacuates and returns zones while instances are cut off.

    Returns:
        The lags in seconds by what was going on and what changed.
    """
    with contextlib.closing(
        create_fleet(count, seed, evacuate_s=EVACUATE_S)
    ) as fleet:
        rng = fleet.rng
        lags = {}

        def play(name, zone, is_ended):
            fleet.evacuate(zone, is_ended)
            change = "returned" if is_ended else "evacuated"
            lags[f"{name}: {change}"] = _evacuation_lag_s(fleet, zone, is_ended)

        outage = rng.choice(virtual_fleet.ALL_OUTAGES)
        cut_off = fleet.ids(1 / 3)
        fleet.store.begin_outage(cut_off, outage)
        for name in ("a third cut off at once", "a third cut off"):
            play(name, "zone-1", False)
            fleet.wait(rng.uniform(0.0, 2.0))
            play(name, "zone-1", True)
            fleet.wait(rng.uniform(2.0, 8.0))

        # Answers to the polls in flight are lost, and nothing else shows it.
        everyone = fleet.ids()
        for is_ended in (False, True):
            fleet.store.begin_outage(
                set(everyone) - set(cut_off), virtual_fleet.Outage.SILENT
            )
            fleet.store.end_outage(set(everyone) - set(cut_off))
            play("polls lost", "zone-2", is_ended)
            fleet.wait(rng.uniform(0.0, 3.0))

        # An outage, of which few instances are spared.
        reaching = sorted(set(everyone) - set(cut_off))
        spared = set(rng.sample(reaching, max(1, count // 10)))
        fleet.store.begin_outage(set(everyone) - spared, outage)
        fleet.wait(rng.uniform(0.0, 4.0))
        play("outage", "zone-0", False)
        new_id = virtual_fleet.instance_id(count)
        fleet.store.begin_outage([new_id], outage)
        new = _start_instance(fleet, count)
        fleet.until(lambda: new.is_ready, _NEW_READY_S)
        knows = "zone-0" in new.fleet.evacuations.zones()
        lags["new instance: evacuated"] = 0.0 if knows else float("inf")
        fleet.store.end_outage([*everyone, new_id])
        fleet.wait(rng.uniform(0.0, 4.0))
        play("after the outage", "zone-0", True)

        # Some reach no peer.
        alone = set(fleet.ids(0.2))
        fleet.has_link = lambda caller_id, callee_id: (
            not alone & {caller_id, callee_id}
        )
        fleet.wait(rng.choice(_PAUSES_S))
        play("a fifth without peers", "zone-1", False)
        play("a fifth without peers", "zone-1", True)
        return lags


def late_evacuations(lags):
    """Returns the lags that exceed their bounds."""
    return {
        name: lag_s
        for name, lag_s in lags.items()
        if lag_s > EVACUATE_S + STRETCH_S * name.startswith("outage")
    }


def _start_instance(fleet, index):
    async def start():
        return fleet.start_instance(index)

    return fleet.loop.run_until_complete(start())


def _evacuation_lag_s(fleet, zone, is_ended):
    """Returns the time until all instances know of a change, in seconds."""
    began_at = fleet.loop.time()
    while any(
        (zone in one.fleet.evacuations.zones()) == is_ended
        for one in fleet.instances
        if one.is_ready
    ):
        if fleet.loop.time() - began_at > 30.0:
            return float("inf")
        fleet.wait(0.02)
    return round(fleet.loop.time() - began_at, 2)


def _play_round(fleet, seed, engine, harm=None):
    rng = fleet.rng
    share = rng.choice(_SHARES)
    outage = rng.choice(virtual_fleet.ALL_OUTAGES)
    longest_outage_s = rng.choice(_OUTAGES_S)
    met = fleet.ids(share)
    unreachable = harm.choose(fleet, met) if harm else []
    if harm and not harm.stands_still:
        _lose_links(fleet, met, unreachable)
    fleet.wait(rng.uniform(0.0, 3.0))
    began_at = fleet.loop.time()
    fleet.store.begin_outage(met, outage)
    fleet.wait(longest_outage_s * rng.random())
    if rng.random() < 0.5:
        fleet.configure()
    fleet.wait(longest_outage_s * rng.random())
    fleet.store.end_outage(met)
    ended_at = fleet.loop.time()
    fleet.wait(fleet.stable_window_s + rng.choice(_PAUSES_S))
    changed_at = fleet.loop.time()
    change = rng.choice(("leaves", "gone", "configured", "gone, configured"))
    if change == "leaves":
        fleet.put_engine(engine, is_leaving=True)
    if "gone" in change:
        fleet.drop_engine(engine)
    if "configured" in change:
        fleet.configure()
    if harm and harm.stands_still:
        fleet.wait(STILL_AFTER_S)
        fleet.stand_still(unreachable)
    name = engine if change != "configured" else ""
    version = fleet.version
    lag_s, instances = 0.0, ()
    while behind := fleet.behind(name, version):
        lag_s = fleet.loop.time() - changed_at
        instances = tuple(one.settings.instance.id for one in behind[:6])
        if lag_s > 30.0:
            break
        fleet.wait(0.02)
    fleet.has_link = lambda caller_id, callee_id: True
    if harm and harm.stands_still:
        fleet.go_on()
    return Late(
        seed,
        outage,
        share,
        round(ended_at - began_at, 3),
        round(changed_at - ended_at, 3),
        change,
        round(lag_s, 3),
        instances,
    )


def _print_spread(count, seed, evacuate_s, latency_s):
    """Prints the lags for each kind of outage of a third of the instances."""
    for outage in SPREAD_OUTAGES:
        with contextlib.closing(
            create_fleet(count, seed, evacuate_s=evacuate_s)
        ) as fleet:
            if latency_s:
                slow_down(fleet, latency_s)
            lags = spread_lags(fleet, outage)
            late = max(lags.values()) > fleet.bound_s
            print(count, seed, outage, "LATE" if late else "", lags, flush=True)


def _print_troubles(count, seed, evacuate_s, latency_s):
    """Prints the lags where a zone has neither the store nor some peers."""
    for name, trouble in PEER_TROUBLES.items():
        for outage in (
            virtual_fleet.Outage.REFUSES,
            virtual_fleet.Outage.SILENT,
        ):
            with contextlib.closing(
                create_fleet(count, seed, evacuate_s=evacuate_s)
            ) as fleet:
                if latency_s:
                    slow_down(fleet, latency_s)
                met = zone_ids(fleet, "zone-1")
                lags = spread_lags(fleet, outage, met=met, trouble=trouble)
                late = max(lags.values()) > fleet.bound_s
                print(
                    count,
                    seed,
                    name,
                    outage,
                    "LATE" if late else "",
                    lags,
                    flush=True,
                )


def _main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=6)
    parser.add_argument("--seeds", type=int, nargs=2, default=(0, 10))
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument(
        "--spread",
        action="store_true",
        help="measure how long what is learned takes to all instances, while"
        " a third of them can't reach the store",
    )
    parser.add_argument(
        "--evacuate", action="store_true", help="evacuate and return zones"
    )
    parser.add_argument(
        "--peers",
        action="store_true",
        help="measure the same for a zone without the store that can't reach"
        " some of its peers",
    )
    parser.add_argument(
        "--lost-links",
        action="store_true",
        help="lose links and let peers stand still in the random outages",
    )
    parser.add_argument(
        "--latency",
        type=float,
        default=0.0,
        help="with --spread: mean time of a message and of an answer of the"
        " store, in seconds",
    )
    arguments = parser.parse_args()
    if arguments.spread:
        evacuate_s = EVACUATE_S if arguments.evacuate else 0.0
        for seed in range(*arguments.seeds):
            _print_spread(arguments.count, seed, evacuate_s, arguments.latency)
        return
    if arguments.peers:
        evacuate_s = EVACUATE_S if arguments.evacuate else 0.0
        for seed in range(*arguments.seeds):
            _print_troubles(
                arguments.count, seed, evacuate_s, arguments.latency
            )
        return
    if arguments.evacuate:
        for seed in range(*arguments.seeds):
            lags = play_evacuations(arguments.count, seed)
            late = late_evacuations(lags)
            print(arguments.count, seed, "late:", late, lags, flush=True)
        return
    late_count = 0
    longest_s = 0.0
    for seed in range(*arguments.seeds):
        late, lag_s = play(
            arguments.count, seed, arguments.rounds, arguments.lost_links
        )
        longest_s = max(longest_s, lag_s)
        late_count += len(late)
        for one in late:
            print(one, flush=True)
    print(
        f"{arguments.count} instances, seeds {arguments.seeds[0]} to"
        f" {arguments.seeds[1] - 1}: {late_count} late, longest"
        f" {longest_s:.2f} s"
    )


if __name__ == "__main__":
    _main()
