"""Engines that are silent for a second while an instance stops as planned."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import harness  # noqa: E402
from tamarackpier.routing import model as routing_model  # noqa: E402

INSTANCES = 3
ROUNDS = 6
ROUND_S = 10.0
# Each service has its engines in a zone of its own, in two domains of four.
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SERVICES = {zone: zone.replace("zone", "drafts") for zone in ZONES}
DOMAINS = 2
DOMAIN_SIZE = 4
EVENTS = 400  # An engine sends one each 10 ms.
PROMPT_TOKENS = 4_000  # The site has up to 4,030 and 5,880.
PAUSE_S = 0.05
TIMEOUT_S = 8.0  # Of the routes and of the callers.
# Part of that time after which a cut is not counted.
LATEST_SHARE = 0.9
CONFIG_APPLY_S = 2.0
# The engines fall silent this long after the zones were taken over, and later
# by the same time in each round, so that all moments of a period come.
DELAY_STEP_S = 0.22
SILENCE_S = 1.0
TAKEOVER_S = 5.0
LEASE_PREFIX = "lease/"


def _configuration() -> routing_model.Configuration:
    spec = dataclasses.replace(harness.SPEC, models=harness.MODELS[:1])
    return dataclasses.replace(
        harness.configuration(
            1,
            tuple(
                harness.route(
                    service,
                    f"/{service}/",
                    routing_model.RouteKind.STREAM,
                    service,
                    TIMEOUT_S,
                    2,
                    True,
                )
                for service in SERVICES.values()
            ),
        ),
        services={
            service: routing_model.ServiceSpec(service, spec)
            for service in SERVICES.values()
        },
    )


def _leases(deployed: harness.Deployment) -> list[str]:
    """Returns the store's rows with the leases of the zones."""
    return [
        data.decode()
        for (table, key), (data, _) in sorted(
            deployed.platform.store.rows.items()
        )
        if LEASE_PREFIX in f"{table}/{key}"
    ]


def _planner(deployed: harness.Deployment) -> harness.Entry:
    """Returns the instance that holds the most zones, but not the last one."""
    leases = _leases(deployed)
    return max(
        deployed.entries[:-1],
        key=lambda entry: sum(entry.id in lease for lease in leases),
    )


async def _wait_taken_over(
    deployed: harness.Deployment, entry: harness.Entry
) -> bool:
    """Waits until other instances hold all zones; returns whether they do."""
    other_ids = [other.id for other in deployed.entries if other is not entry]
    ends_at = time.monotonic() + TAKEOVER_S
    while time.monotonic() < ends_at:
        if all(
            any(other_id in lease for other_id in other_ids)
            for lease in _leases(deployed)
        ):
            return True
        await asyncio.sleep(0.01)
    return False


@dataclasses.dataclass
class _Stream:
    """A stream that a caller sent.

    Attributes:
        request_id: ID of the request.
        sent_at: Time in seconds on the monotonic clock.
        answer: What the caller got.
    """

    request_id: str
    sent_at: float
    answer: harness.Answer

    @property
    def ended_at(self) -> float:
        """Time of the end, in seconds on the monotonic clock."""
        return self.sent_at + self.answer.took_s


class _Caller:
    """Sends one stream of a service after another to one instance.

    Attributes:
        streams: The streams that have ended.
        is_over: Whether no more are sent.
    """

    def __init__(self, deployed: harness.Deployment, service: str) -> None:
        self.deployed = deployed
        self.service = service
        self.streams: list[_Stream] = []
        self.is_over = False

    async def run(self) -> None:
        """Sends streams until the case is over."""
        while not self.is_over:
            sent_at = time.monotonic()
            request_id = f"{self.service}-{len(self.streams)}"
            answer = await self.deployed.send(
                self.deployed.entries[-1],
                f"/{self.service}/1",
                request_id,
                EVENTS,
                deadline_s=TIMEOUT_S,
                prompt_tokens=PROMPT_TOKENS,
            )
            self.streams.append(_Stream(request_id, sent_at, answer))
            await asyncio.sleep(PAUSE_S)


async def _play_round(deployed: harness.Deployment, number: int) -> float:
    """Plays one planned stop; returns the time of the SIGHUP before it."""
    platform, record = deployed.platform, deployed.record
    serving, stopping = deployed.entries[-1], _planner(deployed)
    record.write(f"round {number}: SIGHUP to {serving.id}, which serves")
    hup_at = time.monotonic()
    serving.signal(signal.SIGHUP)
    record.write(f"SIGTERM to {stopping.id}, which plans")
    stopping.signal(signal.SIGTERM)
    if await _wait_taken_over(deployed, stopping):
        record.write("its zones have been taken over")
        await asyncio.sleep(DELAY_STEP_S * number)
        if harness.TROUBLE:
            record.write(f"all engines are silent for {SILENCE_S:g} s")
            for name in platform.fabric.engines:
                platform.silence(name, SILENCE_S)
    else:
        record.write("its zones have not been taken over; no silence")
    if stopping.process is None:
        raise harness.CouldNotRunError(f"{stopping.id} was never started")
    await asyncio.to_thread(stopping.process.wait, harness.GRACE_S + 1.0)
    record.write(f"{stopping.id} has ended")
    await asyncio.sleep(harness.RESTART_DELAY_S)
    stopping.start()
    await deployed.wait_ready()
    return hup_at


async def _case(deployed: harness.Deployment) -> bool:
    platform, record = deployed.platform, deployed.record
    for zone, service in SERVICES.items():
        for domain in range(DOMAINS):
            for index in range(DOMAIN_SIZE):
                await platform.add_engine(
                    f"{service}-{domain}-{index}",
                    service,
                    zone,
                    f"{zone}-{domain}",
                )
    platform.configure(_configuration())
    deployed.add_entries(INSTANCES, platform.address)
    for entry in deployed.entries:
        entry.start()
    await deployed.wait_ready()
    for service in SERVICES.values():
        await deployed.wait_served(f"/{service}/warm")
    callers = [_Caller(deployed, service) for service in SERVICES.values()]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    platform.fabric.load_factor = 1.0
    await asyncio.sleep(harness.STABLE_WINDOW_S)
    hups = []
    for number in range(ROUNDS):
        began_at = time.monotonic()
        hups.append(await _play_round(deployed, number))
        await asyncio.sleep(began_at + ROUND_S - time.monotonic())
    for caller in callers:
        caller.is_over = True
    await asyncio.gather(*tasks)

    streams = [stream for caller in callers for stream in caller.streams]
    cut_count = 0
    for stream in streams:
        is_counted = any(
            stream.sent_at < hup_at + CONFIG_APPLY_S
            and hup_at < stream.ended_at < hup_at + ROUND_S
            for hup_at in hups
        )
        has_time = stream.answer.took_s < LATEST_SHARE * TIMEOUT_S
        ran_at = platform.ran.get(stream.request_id, [])
        is_cut = bool(ran_at) and not stream.answer.is_complete
        if is_cut and is_counted and has_time:
            cut_count += 1
            record.write(
                f"{stream.request_id} was cut {stream.answer.took_s:.2f} s"
                f" after it was sent; it ran at {ran_at}"
            )
    record.write(f"{cut_count} of {len(streams)} streams were cut")
    return not cut_count


if __name__ == "__main__":
    harness.play(_case, pathlib.Path(__file__).resolve())
