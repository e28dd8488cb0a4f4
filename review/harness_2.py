"""Starts a small deployment on loopback for the scripts of the second review.

The entry instances are processes of this project, started as the deploy file
says. The row store and the engines are the project's own stand-ins, in the
process of the script.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tamarackpier.standin import hosted_platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Settings of the machines of the two sites whose clients may read slowly: the
# least memory that they have, and their contracts.
PADMA = {
    "memory_mb": 440,
    "contracts": "base,drain,config,cost,retry,recover,health,pool,engine,"
    "stream,tenants,platform,gangs",
}
RUEDAS = {
    "memory_mb": 200,
    "contracts": "base,drain,config,cost,retry,recover,health,pool,engine,"
    "stream,tenants,places,pressure,platform,gangs",
}
GRACE_S = 8
HOST = "a.example"
KEY = "key-1"
ACCOUNT = "clerks"
MODEL = "large"


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started_at = time.monotonic()

    def note(self, text):
        """Adds a line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f"{elapsed_s:9.3f} s  {text}\n")
        self.file.flush()


def free_ports(count, host):
    """Returns free ports in a row on a host."""
    for first in range(21_000, 29_000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                listener = socket.socket()
                sockets.append(listener)
                listener.bind((host, port))
        except OSError:
            continue
        finally:
            for listener in sockets:
                listener.close()
        return first
    raise CannotRunError("no free ports")


def free_port(host="127.0.0.1"):
    """Returns a free port."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


def spec(span=4, slots=13, warm_s=1.6, load_s=16.0):
    """Returns the engines of a service with one model."""
    return routing_model.EngineSpec(
        (routing_model.ModelSpec(MODEL, span, 1.0, 1.0, load_s, warm_s),),
        slots,
        7,
        0.00595,
        0.000089,
        50_700.0,
        4.5,
        6,
        178.0,
    )


def route(kind, prefix, service, **changes):
    """Returns a route."""
    values = {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "choices": (routing_model.ServiceChoice(service, 1.0),),
        "timeout_s": 8.0,
        "objective_s": 0.3,
        "gap_objective_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": kind is routing_model.RouteKind.STREAM,
    }
    return routing_model.Route(**(values | changes))


def configuration(routes, services, version=1):
    """Returns a configuration with one key."""
    return routing_model.Configuration(
        version,
        tuple(routes),
        {service.name: service for service in services},
        routing_model.Limits(),
        {KEY: routing_model.Account(ACCOUNT, 1)},
    )


def head(method, path, request_id, deadline_ms, body=b"", **headers):
    """Returns the head of a request of a client."""
    lines = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        wire.Header.REQUEST_ID: request_id,
        wire.Header.DEADLINE_MS: str(deadline_ms),
        "Content-Length": str(len(body)),
        **headers,
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode()


class Entry:
    """An entry instance in a process of its own."""

    def __init__(self, index, first_port, folder, store_address, settings):
        self.id = f"entry-{index}"
        self.zone = f"zone-{index % 3}"
        self.ip = f"127.0.2.{10 + index}"
        self.first_port = first_port
        self.path = folder / f"{self.id}.ini"
        self.log = folder / f"{self.id}.log"
        self.store_address = store_address
        self.settings = settings
        self.process = None

    @property
    def address(self):
        """Host and port for callers."""
        return self.ip, self.first_port

    def start(self, contacts):
        """Starts the process with the command of the deploy file."""
        port = self.first_port
        bounds = {"stop_grace_s": GRACE_S, **self.settings.get("bounds", {})}
        lines = "".join(f"{key} = {bounds[key]}\n" for key in bounds)
        self.path.write_text(
            f"""[instance]
id = {self.id}
availability_zone = {self.zone}
region = region-1
ip = {self.ip}
memory_mb = {self.settings["memory_mb"]}
contracts = {self.settings["contracts"]}
[listen]
callers = {self.ip}:{port}
readiness = {self.ip}:{port + 1}
addresses = {self.ip}:{port + 2}
first_internal_port = {port + 3}
contacts = {",".join(f"{ip}:{port + 5}" for ip in contacts)}
[store]
address = {self.store_address}
[bounds]
address_keep_s = 1
{lines}"""
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TAMARACKPIER_SETTINGS": str(self.path),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Returns whether the platform's readiness check gets a 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.first_port + 1
            )
        except OSError:
            return False
        try:
            writer.write(
                f"GET {wire.Path.READY} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """A platform with engines, and entry instances before it.

    Attributes:
        platform: Stand-in of the platform.
        entries: The entry instances.
        record: What was seen.
    """

    def __init__(self, platform, folder, record, count, settings):
        self.platform = platform
        self.folder = folder
        self.record = record
        first_port = free_ports(8, "127.0.2.10")
        self.entries = [
            Entry(
                index,
                first_port,
                folder,
                platform.address,
                settings,
            )
            for index in range(count)
        ]

    async def start(self, is_serving, timeout_s=30.0):
        """Starts the instances and waits until they serve.

        Args:
            is_serving: Returns whether the engines serve.
            timeout_s: Longest wait, in seconds.
        """
        for entry in self.entries:
            self.restart(entry)
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            await asyncio.sleep(0.2)
            ready = [await entry.is_ready() for entry in self.entries]
            if all(ready) and is_serving():
                await asyncio.sleep(1.0)
                self.record.note("the deployment serves")
                return
        raise CannotRunError("the deployment does not serve in time")

    def restart(self, entry):
        """Starts the process of an instance."""
        entry.start([other.ip for other in self.entries[:3]])

    def stop(self):
        """Ends all processes."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                entry.process.wait()


@dataclasses.dataclass
class Event:
    """An event of a stream."""

    number: int
    at: float


def run(main):
    """Runs a case and exits with its result.

    Args:
        main: Coroutine function that gets a folder and a record, and returns
            `HELD` or `BROKEN`.
    """
    script = pathlib.Path(sys.argv[0]).resolve()
    record = Record(script.parent)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    try:
        status = asyncio.run(asyncio.wait_for(main(folder, record), 110.0))
    except (CannotRunError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        status = NOT_RUN
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.note(["the rule held", "the rule was broken", "not run"][status])
    print(["held", "BROKEN", "not run"][status])
    sys.exit(status)


def platform(engine_spec):
    """Returns a platform on free ports."""
    return hosted_platform.HostedPlatform(engine_spec, free_port)
