"""An engine whose row vanishes some time after the store was away."""

import asyncio
import collections
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import harness  # noqa: E402
from tamarackpier.platform import wire  # noqa: E402

INSTANCES = 3
ENGINES = 3
OUTAGE_S = 4.5
# Time from the store's return until an engine leaves, in seconds.
CALM_S = 6.0
DRAIN_S = 2.0
WATCHED_S = 4.0
INTERVAL_S = 0.02


class _Traffic:
    """Callers that send idempotent requests to all instances in turn.

    Attributes:
        deployed: The deployment.
        sent_at: Time of each request, in seconds on the monotonic clock.
    """

    def __init__(self, deployed: harness.Deployment) -> None:
        self.deployed = deployed
        self.sent_at: dict[str, float] = {}

    async def run(self) -> None:
        """Sends requests until it is cancelled, and waits for none."""
        tasks = set()
        for number in itertools.count():
            request_id = f"status-{number}"
            self.sent_at[request_id] = time.monotonic()
            entry = self.deployed.entries[number % INSTANCES]
            task = asyncio.ensure_future(
                self.deployed.send(entry, f"/status/{number}", request_id)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    def ran_at(self, engine: str, since: float) -> list[str]:
        """Returns the requests sent since a time that ran at an engine."""
        ran = self.deployed.platform.ran
        return [
            request_id
            for request_id, at in self.sent_at.items()
            if at > since and engine in ran.get(request_id, ())
        ]


async def _case(deployed: harness.Deployment) -> bool:
    platform, record = deployed.platform, deployed.record
    for index in range(ENGINES):
        await platform.add_engine(f"o{index}", "orders", "zone-a", "")
    platform.plain_answer_s = 0.02
    platform.configure(harness.configuration())
    deployed.add_entries(INSTANCES, platform.address)
    for entry in deployed.entries:
        entry.start()
    await deployed.wait_ready()
    await deployed.wait_served("/status/warm")
    traffic = _Traffic(deployed)
    sending = asyncio.ensure_future(traffic.run())
    await asyncio.sleep(harness.STABLE_WINDOW_S)

    if harness.TROUBLE:
        record.write("the store is down: it resets connections, then says 503")
        platform.store.refuses = True
        deployed.reset_store_connections()
    await asyncio.sleep(OUTAGE_S)
    platform.store.refuses = False
    record.write("the store answers")
    await asyncio.sleep(CALM_S)

    recently = time.monotonic() - 1.0
    counts = collections.Counter(
        {
            engine: len(traffic.ran_at(engine, recently))
            for engine in platform.engine_listeners
        }
    )
    leaving = counts.most_common(1)[0][0]
    # It goes on serving for a while, as engines do that never say that they
    # drain.
    platform.store.put(wire.Field.ENGINES_TABLE, leaving, None)
    left_at = time.monotonic()
    record.write(f"the row of {leaving} is removed: {dict(counts)}")
    await asyncio.sleep(WATCHED_S)
    sending.cancel()
    await asyncio.sleep(1.0)
    late = traffic.ran_at(leaving, left_at + DRAIN_S)
    for request_id in late:
        record.write(
            f"{request_id}, sent {traffic.sent_at[request_id] - left_at:.3f} s"
            f" after the removal, ran at {leaving}"
        )
    record.write(
        f"{len(traffic.ran_at(leaving, left_at))} requests sent after the"
        f" removal ran there, {len(late)} of them sent later than {DRAIN_S:g} s"
    )
    return not late


if __name__ == "__main__":
    harness.play(_case, pathlib.Path(__file__).resolve())
