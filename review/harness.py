"""A small deployment of real entry processes with stand-ins on loopback.

The cases start it in `case.py` of their folder. Entry instances run as
processes with the command of the deploy file; the platform, its engines and
the callers run in the process of the case.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

import aiohttp

from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tamarackpier.standin import hosted_platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site ghanti-host, in seconds.
STABLE_WINDOW_S = 3.0
GRACE_S = 8.0
# Delay after which the platform starts an ended process again.
RESTART_DELAY_S = 1.0

HOST = "a.example"
KEY = "key-1"
MODELS = (
    routing_model.ModelSpec("large", 4, 0.57, 1.0, 16.0, 1.6),
    routing_model.ModelSpec("small", 3, 0.43, 0.6, 12.0, 1.1),
)
SPEC = routing_model.EngineSpec(
    MODELS, 13, 7, 0.00595, 0.000089, 50_700.0, 4.5, 6, 178.0
)
SERVICES = {
    "drafts": routing_model.ServiceSpec("drafts", SPEC),
    "orders": routing_model.ServiceSpec("orders", None),
}


def route(
    name: str,
    prefix: str,
    kind: routing_model.RouteKind,
    service: str,
    timeout_s: float,
    max_attempts: int = 1,
    is_resumable: bool = False,
) -> routing_model.Route:
    """Returns a route with figures like those of the site."""
    return routing_model.Route(
        name,
        HOST,
        prefix,
        kind,
        (routing_model.ServiceChoice(service, 1.0),),
        timeout_s,
        0.3,
        0.3,
        1,
        max_attempts,
        False,
        is_resumable,
    )


ROUTES = (
    route(
        "draft",
        "/draft/",
        routing_model.RouteKind.STREAM,
        "drafts",
        8.0,
        2,
        True,
    ),
    route("order", "/order/", routing_model.RouteKind.ONCE, "orders", 4.0),
    route(
        "status",
        "/status/",
        routing_model.RouteKind.IDEMPOTENT,
        "orders",
        4.0,
        2,
    ),
)


def configuration(
    version: int = 1, routes: tuple[routing_model.Route, ...] = ROUTES
) -> routing_model.Configuration:
    """Returns a manifest with a route of each kind and one key."""
    return routing_model.Configuration(
        version,
        routes,
        SERVICES,
        routing_model.Limits(),
        {KEY: routing_model.Account("clerks", 1)},
    )


class CouldNotRunError(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """The file `record.txt` of a case.

    Attributes:
        began_at: Start of the case, in seconds on the monotonic clock.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes a line with the time since the start of the case."""
        self._file.write(f"{time.monotonic() - self.began_at:8.3f} s  {text}\n")
        self._file.flush()


def _run_command() -> list[str]:
    """Returns the command of the deploy file's role."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return str(deploy["roles"]["entry"]["run"]).split()


class Entry:
    """An entry instance in a process of its own.

    Attributes:
        id: ID of the instance.
        ip: Loopback address that it listens on.
        ports: First of the ports that it listens on.
        process: The running process, or the last one.
        started_at: Start of the process, in seconds on the monotonic clock.
    """

    def __init__(
        self, index: int, ip: str, port: int, folder: pathlib.Path
    ) -> None:
        self.id = f"front-{index}"
        self.ip = ip
        self.port = port
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    @property
    def callers(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{self.port}"

    @property
    def ready_address(self) -> str:
        """Address of the readiness check."""
        return f"{self.ip}:{self.port + 1}"

    def write_settings(self, store: str, contacts: str, zone: str) -> None:
        """Writes the settings as the deploy file's template lays them out."""
        (self.folder / f"{self.id}.ini").write_text(
            f"""[instance]
id = {self.id}
availability_zone = {zone}
region = region-1
ip = {self.ip}

[listen]
callers = {self.callers}
readiness = {self.ready_address}
addresses = {self.ip}:{self.port + 2}
first_internal_port = {self.port + 3}
contacts = {contacts}

[store]
address = {store}

[bounds]
retry_ratio = 0.2
retry_extra = 132
retry_window_s = 10
stop_grace_s = {GRACE_S:g}
address_keep_s = 1
"""
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        command = _run_command()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "TAMARACKPIER_SETTINGS": str(self.folder / f"{self.id}.ini"),
        }
        output = (self.folder / f"{self.id}.log").open("ab")
        with output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at = time.monotonic()

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


def free_port() -> int:
    """Returns a free port below those of outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port


@dataclasses.dataclass
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 for a closed connection without a whole answer.
        body: Body, as far as it came.
        headers: Headers by name in lower case.
        took_s: Time until the end, in seconds.
        is_complete: Whether the answer was complete.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    took_s: float
    is_complete: bool = True


class Deployment:
    """The platform's stand-in, the entry processes and a caller.

    Attributes:
        platform: Stand-in of the platform and its engines.
        entries: The entry instances.
        client: HTTP session of the callers.
        record: Record of the case.
        folder: Temporary folder for settings and logs.
    """

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.platform = hosted_platform.HostedPlatform(SPEC, free_port)
        # Loads take a tenth of the time before the first request.
        self.platform.fabric.load_factor = 0.1
        self.entries: list[Entry] = []
        self.client: aiohttp.ClientSession

    def add_entries(
        self,
        count: int,
        stores: str | Sequence[str],
        zones: tuple[str, ...] = ("zone-a",),
    ) -> None:
        """Adds entry instances, each with an address of its own.

        Args:
            count: Number of instances.
            stores: Address of the store, for all or for each instance.
            zones: Availability zones, which instances take in turn.
        """
        network = f"127.{random.randrange(1, 250)}.{random.randrange(250)}"
        port = random.randrange(1_000, 1_900) * 10
        for index in range(count):
            self.entries.append(
                Entry(index, f"{network}.{10 + index}", port, self.folder)
            )
        contacts = ",".join(
            f"{entry.ip}:{port + 3}" for entry in self.entries[:3]
        )
        for index, entry in enumerate(self.entries):
            store = stores if isinstance(stores, str) else stores[index]
            entry.write_settings(store, contacts, zones[index % len(zones)])

    def reset_store_connections(self) -> None:
        """Resets all connections to the store, as when it goes down."""
        for connection in list(self.platform.listeners[0].state.connections):
            connection.transport.abort()  # type: ignore[union-attr]

    async def is_ready(self, entry: Entry) -> bool:
        """Returns whether an instance says that it is ready."""
        try:
            async with self.client.get(
                f"http://{entry.ready_address}{wire.Path.READY}",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until all instances are ready."""
        ends_at = time.monotonic() + seconds
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > ends_at:
                    raise CouldNotRunError(f"{entry.id} is not ready")
                await asyncio.sleep(0.05)

    async def wait_served(
        self, path: str, count: int = 5, seconds: float = 30.0
    ) -> None:
        """Waits until each instance has served a request."""
        ends_at = time.monotonic() + seconds
        number = 0
        for entry in self.entries:
            while True:
                number += 1
                answer = await self.send(
                    entry, path, f"warm{path.replace('/', '-')}{number}", count
                )
                if answer.status == 200 and answer.is_complete:
                    break
                if time.monotonic() > ends_at:
                    raise CouldNotRunError(f"{entry.id} doesn't serve {path}")
                await asyncio.sleep(0.2)

    async def send(
        self,
        entry: Entry,
        path: str,
        request_id: str,
        count: int = 20,
        body: bytes = b"{}",
        parts: str = "",
        deadline_s: float = 8.0,
        method: str = "POST",
        prompt_tokens: int = 100,
    ) -> Answer:
        """Sends a request on a new connection and returns its answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            wire.Header.REQUEST_ID: request_id,
            wire.Header.DEADLINE_MS: str(int(deadline_s * 1e3)),
            wire.Header.MODEL: "large",
            wire.Header.TOKEN_COUNT: f"{prompt_tokens},{count}",
            "Connection": "close",
        }
        if parts:
            headers[wire.Header.PROMPT_PARTS] = parts
        sent_at = time.monotonic()
        self.record.write(f"{request_id} sent to {entry.id}: {path}")
        answer = Answer(0, b"", {}, 0.0, False)
        received = bytearray()
        try:
            async with self.client.request(
                method,
                f"http://{entry.callers}{path}",
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=deadline_s),
            ) as response:
                answer.status = response.status
                answer.headers = {
                    name.lower(): value
                    for name, value in response.headers.items()
                }
                async for data in response.content.iter_any():
                    received += data
            answer.is_complete = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.write(f"{request_id} broke off: {error!r:.100}")
        answer.body = bytes(received)
        answer.took_s = time.monotonic() - sent_at
        self.record.write(
            f"{request_id} answered {answer.status}, {len(received)} bytes,"
            f" complete: {answer.is_complete},"
            f" retry after: {answer.headers.get('retry-after', '-')}"
        )
        return answer


@contextlib.asynccontextmanager
async def deployment(
    record: Record,
) -> AsyncIterator[Deployment]:
    """Runs a deployment and ends all of its processes."""
    with tempfile.TemporaryDirectory() as folder:
        deployed = Deployment(record, pathlib.Path(folder))
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            max_line_size=65_536,
            max_field_size=65_536,
        ) as client:
            deployed.client = client
            await deployed.platform.start()
            try:
                yield deployed
            finally:
                for entry in deployed.entries:
                    entry.end()
                await deployed.platform.stop()
                logs = os.environ.get("KEEP_LOGS")
                if logs:
                    for path in pathlib.Path(folder).glob("*.log"):
                        (pathlib.Path(logs) / path.name).write_bytes(
                            path.read_bytes()
                        )


def play(
    case: Callable[[Deployment], Awaitable[bool]], path: pathlib.Path
) -> None:
    """Plays a case and exits with its result.

    Args:
        case: Plays the case; returns whether the rule held.
        path: The file of the case; the record is written beside it.
    """
    record = Record(path.parent / "record.txt")
    record.write(f"disruption: {'yes' if TROUBLE else 'no'}")

    async def run() -> int:
        task = asyncio.current_task()
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with deployment(record) as deployed, asyncio.timeout(110):
                has_held = await case(deployed)
        except asyncio.CancelledError:
            record.write("could not run: ended by a signal")
            return COULD_NOT_RUN
        except Exception as error:
            # A fault of the case itself must not look like a broken rule.
            record.write(f"could not run: {error!r}")
            return COULD_NOT_RUN
        record.write("the rule held" if has_held else "the rule was broken")
        return HELD if has_held else BROKEN

    sys.exit(asyncio.run(run()))
