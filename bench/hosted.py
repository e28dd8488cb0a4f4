"""Measures how the control work of a hosted instance grows with its size.

Fits a line to the processor time or the bytes at several sizes by least
squares. Prints a row for each line with its slope and its residual, which is
the largest distance of a measurement from the line over the largest
measurement.
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
_INSTANCE_COUNTS = (16, 40, 80, 160)
_WARM_UP_ROUNDS = 16
_MEASURED_ROUNDS = 8


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line fitted to measurements.

    Attributes:
        name: Measured quantity and its unit.
        against: Quantity whose size is varied.
        sizes: The measured sizes.
        at_zero: Value of the line at size 0.
        each: Increase of the value per unit of size.
        residual: Largest distance of a measurement from the line, over the
            largest measurement.
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
    """Measures at each size and fits a line by least squares."""
    values = [measure(size) for size in sizes]
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name,
        against,
        sizes,
        line.intercept,
        line.slope,
        max(distances) / max(values),
    )


def _best_us(work: Callable[[], object]) -> float:
    """Returns the least processor time of repeated calls, in microseconds."""
    best_s = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        work()
        best_s = min(best_s, time.process_time() - start)
    return best_s * 1e6


def _records(count: int) -> list[model.EngineRecord]:
    """Returns records of engines in domains of 64 and replicas of 16."""
    records = []
    for index in range(count):
        replica = index // 16
        key = model.ReplicaKey(f"zone-a-entry-1-{replica}", replica + 1)
        rank = index % 16
        state = model.MemberState.READY if rank else model.MemberState.OPEN
        records.append(
            hosted_fixtures.record(
                f"e{index}",
                domain=f"d{index // 64}",
                model="large",
                staged=("large",),
                membership=model.Membership(key, rank, state),
            )
        )
    return records


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


def _assemble_replicas_us(count: int) -> float:
    fleet = _fleet(count)
    record = fleet.engines["e0"]

    def work() -> None:
        fleet.put(record)
        fleet.replicas()

    return _best_us(work)


def _find_replicas_us(count: int) -> float:
    fleet = _fleet(count)
    return _best_us(lambda: fleet.serving("drafts", "large"))


def _decode_rows_us(count: int) -> float:
    rows = [encode.engine_row(record) for record in _records(count)]
    return _best_us(lambda: [decode.engine_record("e", row) for row in rows])


def _decode_configuration_us(count: int) -> float:
    routes = tuple(
        hosted_fixtures.route(name=f"r{index}", prefix=f"/p{index}/")
        for index in range(count)
    )
    data = encode.configuration(hosted_fixtures.configuration(1, routes=routes))
    return _best_us(lambda: decode.configuration(data))


def _measure_exchanges(count: int) -> dict[str, float]:
    """Returns the cost of state exchanges to one instance, per second.

    Returns:
        Bytes of messages, bytes of messages between zones, and processor time
        in cores.
    """
    fleet = exchange_fixtures.Fleet(count)
    key = model.ReplicaKey("r1", 1)
    for node in fleet.nodes.values():
        node.relay.replica_loads.begin(key, 500)
    fleet.run(_WARM_UP_ROUNDS)
    fleet.bytes = fleet.far_bytes = 0
    began_s = time.process_time()
    fleet.run(_MEASURED_ROUNDS)
    processor_s = time.process_time() - began_s
    instance_s = _MEASURED_ROUNDS * exchange_fixtures.ROUND_S * count
    return {
        "bytes": fleet.bytes / instance_s,
        "bytes_between_zones": fleet.far_bytes / instance_s,
        "core": processor_s / instance_s,
    }


@click.command()
@click.option(
    "--json", "as_json", is_flag=True, help="Print JSON instead of rows."
)
def main(as_json: bool) -> None:
    """Measures and prints all lines."""
    engine_counts = (64, 256, 1024, 2048)
    slopes = [
        _fit("a plan, us", "engines of a zone", engine_counts, _plan_us),
        _fit(
            "replicas put together, us",
            "engines",
            engine_counts,
            _assemble_replicas_us,
        ),
        _fit(
            "replicas for a request, us",
            "engines",
            engine_counts,
            _find_replicas_us,
        ),
        _fit("rows decoded, us", "engines", engine_counts, _decode_rows_us),
        _fit(
            "configuration decoded, us",
            "routes",
            (100, 400, 1600),
            _decode_configuration_us,
        ),
    ]
    exchanges = {count: _measure_exchanges(count) for count in _INSTANCE_COUNTS}
    for key, name in (
        ("bytes", "exchanges, bytes/s"),
        ("bytes_between_zones", "exchanges beyond the zone, bytes/s"),
        ("core", "messages made and taken, core"),
    ):
        slopes.append(
            _fit(
                name,
                "entry instances",
                _INSTANCE_COUNTS,
                lambda count, key=key: exchanges[count][key],
            )
        )
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(slope) for slope in slopes]))
        return
    for slope in slopes:
        click.echo(
            f"| {slope.name} | {slope.against} "
            f"| {', '.join(str(size) for size in slope.sizes)} "
            f"| {slope.at_zero:.4g} | {slope.each:.4g} "
            f"| {slope.residual:.1%} |"
        )


if __name__ == "__main__":
    main()
