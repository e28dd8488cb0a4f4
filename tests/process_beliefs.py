"""Events after which real entry processes must not act on what they believed.

A phase of the soak without other faults: the store falls silent beside changes
and vanishing rows, callers offer other protocols and send bodies in packets of
their own, and all instances are killed soon after a third crash. Each event
comes a random time after the one before.
"""

import asyncio
import contextlib
import itertools
import random
import signal
import time

import aiohttp

from tamarackpier.platform import wire
from tests import process_fixtures

__all__ = ["Phase"]

# Bounds that the platform states, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
MAX_CRASHES = 3
MAX_LATE_ATTEMPTS = 3
# Time that a busy machine may add to a bound.
SLACK_S = 0.4
READY_TIMEOUT_S = 30.0
SEND_PERIOD_S = 0.03
BODY = b'{"crash": "after a kill"}'
OFFER = "Connection: Upgrade\r\nUpgrade: h2c\r\n"


class Phase:
    """Plays the events of one seed.

    Attributes:
        soak: The soak, whose callers go on meanwhile.
        rng: Source of the times.
    """

    def __init__(self, soak):
        self.soak = soak
        self.rng = random.Random(f"beliefs/{soak.seed}")
        self._numbers = itertools.count()

    async def run(self):
        """Plays all events once, in a random order."""
        events = [
            self.offers,
            self.silent_store,
            self.vanishing_row,
            self.killed_after_a_third_crash,
        ]
        self.rng.shuffle(events)
        for event in events:
            self.soak.report.faults[event.__name__] += 1
            await self.wait_ready()
            await event()

    async def wait_ready(self):
        """Waits until all instances run and serve, and then a stable window."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for entry in self.soak.entries:
            while await self._post(entry, "/order/", self._id("ready")) != 200:
                if time.monotonic() > ends_at:
                    self.soak.add_violation(f"{entry.id} does not serve again")
                    return
                await asyncio.sleep(0.1)
        await asyncio.sleep(STABLE_WINDOW_S)

    async def offers(self):
        """Callers offer another protocol and send a request as a body."""
        for entry in self.soak.entries:
            inner_id, outer_id = self._id("inner"), self._id("outer")
            inner = _raw(inner_id, b"{}")
            outer = _raw(outer_id, inner, OFFER)
            head = outer[: -len(inner)]
            host, _, port = entry.caller_address.rpartition(":")
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head)
                await writer.drain()
                await asyncio.sleep(self.rng.uniform(0.02, 0.2))
                writer.write(inner)
                async with asyncio.timeout(2.0):
                    await reader.readuntil(b"\r\n\r\n")
                    await asyncio.sleep(0.2)
                writer.close()
            if self.soak.platform.ran.get(inner_id):
                self.soak.add_violation(f"{inner_id} ran, and was not sent")

    async def silent_store(self):
        """The configuration changes after the store was silent."""
        await self._be_silent()
        await asyncio.sleep(STABLE_WINDOW_S)
        self.soak.configure()
        version = self.soak.version
        await asyncio.sleep(CONFIG_APPLY_S + SLACK_S)
        for entry in self.soak.entries:
            path = f"/v{version}/"
            if await self._post(entry, path, self._id("version")) == 404:
                self.soak.add_violation(
                    f"{entry.id} lacks version {version} after a silent store"
                )

    async def vanishing_row(self):
        """An engine's row vanishes after the store was silent or refused."""
        platform = self.soak.platform
        await self.soak.add_engine("orders", None)
        name = list(platform.fabric.engines)[-1]
        if self.rng.random() < 0.5:
            await self._be_silent()
        else:
            platform.store.refuses = True
            await asyncio.sleep(self.rng.uniform(1.0, 6.0))
            platform.store.refuses = False
        await asyncio.sleep(STABLE_WINDOW_S + self.rng.uniform(0.0, 3.0))
        del platform.fabric.engines[name]
        platform.store.put(wire.Field.ENGINES_TABLE, name, None)
        await asyncio.sleep(DRAIN_S + SLACK_S)
        late_ids = []
        ends_at = time.monotonic() + 1.5
        while time.monotonic() < ends_at:
            for entry in self.soak.entries:
                late_ids.append(self._id("late"))
                await self._post(entry, "/order/", late_ids[-1])
            await asyncio.sleep(SEND_PERIOD_S)
        late_count = sum(
            name in platform.ran.get(late_id, ()) for late_id in late_ids
        )
        if late_count:
            self.soak.add_violation(
                f"{late_count} requests reached {name} over {DRAIN_S} s after"
                " its row was gone"
            )

    async def killed_after_a_third_crash(self):
        """All instances are killed within two seconds of a third crash."""
        platform, entries = self.soak.platform, self.soak.entries
        platform.crashing_bodies[BODY] = 2
        ends_at = time.monotonic() + 20.0
        while self._crash_count() < MAX_CRASHES and time.monotonic() < ends_at:
            entry = entries[next(self._numbers) % len(entries)]
            await self._post(entry, "/draft/", self._id("killing"), BODY)
            await asyncio.sleep(0.1)
        if self._crash_count() < MAX_CRASHES:
            return
        await asyncio.sleep(self.rng.uniform(0.6, 1.9))
        for entry in entries:
            entry.is_exit_expected = True
            entry.signal(signal.SIGKILL)
        await self.wait_ready()
        crashes_before = self._crash_count()
        for _ in range(4):
            for entry in entries:
                await self._post(entry, "/draft/", self._id("killing"), BODY)
            await asyncio.sleep(0.3)
        late_count = self._crash_count() - crashes_before
        if late_count > MAX_LATE_ATTEMPTS:
            self.soak.add_violation(
                f"a request that had crashed {crashes_before} engines crashed"
                f" {late_count} more after all instances were killed"
            )
        del platform.crashing_bodies[BODY]

    async def _be_silent(self):
        store = self.soak.platform.store
        store.set_silent(True)
        await asyncio.sleep(self.rng.uniform(1.0, 10.0))
        store.set_silent(False)

    def _crash_count(self):
        return sum(
            "-killing" in request_id
            for _, request_id in self.soak.platform.crashes
        )

    def _id(self, kind):
        return f"{self.soak.seed:x}-{kind}{next(self._numbers)}"

    async def _post(self, entry, path, request_id, body=b"{}"):
        """Returns the status of the answer; 0 without a whole one."""
        try:
            async with self.soak.client.post(
                f"http://{entry.caller_address}{path}1",
                headers=process_fixtures.headers(request_id),
                data=body,
                timeout=aiohttp.ClientTimeout(
                    total=process_fixtures.REQUEST_TIMEOUT_S
                ),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        return response.status


def _raw(request_id, body, extra=""):
    """Returns the bytes of an order."""
    headers = process_fixtures.headers(request_id)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (
        f"POST /order/1 HTTP/1.1\r\n{lines}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
