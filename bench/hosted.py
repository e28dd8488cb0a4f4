"""Slopes of a hosted instance's control: processor time and bytes by size.

Prints one line for each slope: least squares over the sizes, and the largest
distance of a measurement from its line as a share of the largest one.
"""

import dataclasses
import json
import statistics
import time
from collections.abc import Callable

import click

from tamarackpier.fleet import fleet_view, model, zone_planner
from tamarackpier.platform import decode, encode
from tamarackpier.routing import model as routing_model
from tests import exchange_fixtures, hosted_fixtures

_REPEATS = 7
_INSTANCES = (16, 40, 80, 160)
_SETTLING_ROUNDS = 16
_ROUNDS = 8


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line through measurements.

    Attributes:
        name: What was measured, with its unit.
        against: What it grows with.
        sizes: The sizes measured.
        at_zero: The line's value at size 0.
        each: What one more adds.
        residual: Largest distance over the largest measurement.
    """

    name: str
    against: str
    sizes: tuple[int, ...]
    at_zero: float
    each: float
    residual: float


def _fit(
    name: str,
    against: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    values = [measure(size) for size in sizes]
    line = statistics.linear_regression(sizes, values)
    off = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name,
        against,
        sizes,
        line.intercept,
        line.slope,
        max(off) / max(values),
    )


def _best_us(work: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        work()
        best = min(best, time.process_time() - start)
    return best * 1e6


def _records(count: int) -> list[model.EngineRecord]:
    """Returns engines in domains of 64 with replicas of 16."""
    found = []
    for index in range(count):
        replica = index // 16
        key = model.ReplicaKey(f"zone-a-entry-1-{replica}", replica + 1)
        rank = index % 16
        state = model.MemberState.READY if rank else model.MemberState.OPEN
        found.append(
            hosted_fixtures.record(
                f"e{index}",
                domain=f"d{index // 64}",
                model="large",
                staged=("large",),
                membership=model.Membership(key, rank, state),
            )
        )
    return found


def _fleet(count: int) -> fleet_view.FleetView:
    spec = dataclasses.replace(
        hosted_fixtures.SPEC,
        models=(
            dataclasses.replace(hosted_fixtures.MODELS[0], span=16),
            hosted_fixtures.MODELS[1],
        ),
    )
    fleet = fleet_view.FleetView()
    fleet.set_services({"drafts": routing_model.ServiceSpec("drafts", spec)})
    fleet.replace(_records(count), 0.0)
    return fleet


def _plan_us(count: int) -> float:
    fleet = _fleet(count)
    planner = zone_planner.ZonePlanner(
        "drafts", "zone-a", hosted_fixtures.SPEC, "entry-1", 1 << 20, 1, 0.0
    )
    return _best_us(lambda: planner.tick(fleet, {"large": 10}, 1.0))


def _assemble_us(count: int) -> float:
    fleet = _fleet(count)
    record = fleet.engines["e0"]

    def work() -> None:
        fleet.put(record)
        fleet.replicas()

    return _best_us(work)


def _serving_us(count: int) -> float:
    fleet = _fleet(count)
    return _best_us(lambda: fleet.serving("drafts", "large"))


def _rows_us(count: int) -> float:
    rows = [encode.engine_row(each) for each in _records(count)]
    return _best_us(lambda: [decode.engine_record("e", row) for row in rows])


def _configuration_us(count: int) -> float:
    routes = tuple(
        hosted_fixtures.route(name=f"r{index}", prefix=f"/p{index}/")
        for index in range(count)
    )
    data = encode.configuration(hosted_fixtures.configuration(1, routes=routes))
    return _best_us(lambda: decode.configuration(data))


def _exchange(count: int) -> dict[str, float]:
    """Returns what one instance of many sends and computes in a second."""
    fleet = exchange_fixtures.Fleet(count)
    key = model.ReplicaKey("r1", 1)
    for node in fleet.nodes.values():
        node.relay.replica_loads.begin(key, 500)
    fleet.run(_SETTLING_ROUNDS)
    fleet.bytes = fleet.far_bytes = 0
    began = time.process_time()
    fleet.run(_ROUNDS)
    took_s = time.process_time() - began
    seconds = _ROUNDS * exchange_fixtures.ROUND_S * count
    return {
        "bytes": fleet.bytes / seconds,
        "far": fleet.far_bytes / seconds,
        "core": took_s / seconds,
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Write JSON.")
def main(as_json: bool) -> None:
    """Measures and prints all slopes."""
    engines = (64, 256, 1024, 2048)
    slopes = [
        _fit("a plan, us", "engines of a zone", engines, _plan_us),
        _fit("replicas put together, us", "engines", engines, _assemble_us),
        _fit("replicas for a request, us", "engines", engines, _serving_us),
        _fit("rows decoded, us", "engines", engines, _rows_us),
        _fit(
            "configuration decoded, us",
            "routes",
            (100, 400, 1600),
            _configuration_us,
        ),
    ]
    exchanges = {count: _exchange(count) for count in _INSTANCES}
    for name, unit in (
        ("bytes", "exchanges, bytes/s"),
        ("far", "exchanges beyond the zone, bytes/s"),
        ("core", "messages made and taken, core"),
    ):
        slopes.append(
            _fit(
                unit,
                "entry instances",
                _INSTANCES,
                lambda count, name=name: exchanges[count][name],
            )
        )
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(each) for each in slopes]))
        return
    for each in slopes:
        click.echo(
            f"| {each.name} | {each.against} "
            f"| {', '.join(str(size) for size in each.sizes)} "
            f"| {each.at_zero:.4g} | {each.each:.4g} "
            f"| {each.residual:.1%} |"
        )


if __name__ == "__main__":
    main()
