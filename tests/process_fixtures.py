"""Fixtures for runs of real entry processes."""

import contextlib
import dataclasses
import pathlib
import signal
import subprocess
import sys

from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tamarackpier.standin import link
from tests import hosted_fixtures

STOP_GRACE_S = 2.0
REQUEST_TIMEOUT_S = 5.0
EVENT_COUNT = 12
# Indices into the ports of an entry instance.
CALLER_PORT, READY_PORT, ADDRESS_PORT, FIRST_INTERNAL_PORT = range(4)


def headers(request_id, event_count=EVENT_COUNT):
    """Returns the headers of a draft or order of a caller."""
    return {
        "Host": "a.example",
        "Authorization": "Token key-1",
        wire.Header.REQUEST_ID: request_id,
        wire.Header.DEADLINE_MS: str(int(REQUEST_TIMEOUT_S * 1e3)),
        wire.Header.MODEL: "large",
        wire.Header.TOKEN_COUNT: f"100,{event_count}",
    }


def draft(event_count=EVENT_COUNT):
    """Returns the body of a complete draft."""
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (number, number)
        for number in range(1, event_count + 1)
    )


SPEC = dataclasses.replace(
    hosted_fixtures.SPEC,
    models=tuple(
        dataclasses.replace(model, load_s=0.3, warm_s=0.1)
        for model in hosted_fixtures.MODELS
    ),
)
SERVICES = {
    "drafts": routing_model.ServiceSpec("drafts", SPEC),
    "orders": routing_model.ServiceSpec("orders", None),
}
ORDER_CHOICES = (routing_model.ServiceChoice("orders", 1.0),)
ROUTES = (
    hosted_fixtures.route(timeout_s=6.0),
    hosted_fixtures.route(
        name="o",
        prefix="/order/",
        kind=routing_model.RouteKind.ONCE,
        choices=ORDER_CHOICES,
        timeout_s=6.0,
    ),
)


class Entry:
    """An entry instance in a process of its own, with its links.

    Attributes:
        id: Instance ID.
        zone: Availability zone.
        host: Loopback address that the instance listens on.
        ports: Port numbers; `CALLER_PORT` and the others are indices into it.
        caller_address: Host and port for callers.
        store_link: Link from the instance to the row store.
        caller_link: Link from callers to the instance.
        settings_path: Path of the settings file.
        output: Path of the file with the standard output and error.
        contacts: Hosts of the instances that it contacts first.
        process: The running process, or the last one; None before the first
            start.
        start_count: Number of starts.
        is_exit_expected: Whether a signal that ends the process was sent since
            its start.
        newest_version_seen: Newest configuration version that the process has
            served since its start, or 0.
        build: Folder with the package that the next process runs; None for
            this build.
    """

    def __init__(
        self, index, host, first_port, folder, store_address, contacts
    ):
        self.id = f"entry-{index}"
        self.zone = f"zone-{index % 2}"
        self.host = host
        self.ports = [first_port + offset for offset in range(5)]
        self.caller_address = f"{host}:{self.ports[CALLER_PORT]}"
        self.store_link = link.Link(store_address, f"{host}:{first_port + 6}")
        self.caller_link = link.Link(
            self.caller_address, f"{host}:{first_port + 7}"
        )
        self.settings_path = folder / f"{self.id}.ini"
        self.output = folder / f"{self.id}.log"
        self.contacts = contacts
        self.process = None
        self.start_count = 0
        self.is_exit_expected = False
        self.newest_version_seen = 0
        self.build = None

    async def prepare(self, log_level="info"):
        """Opens the links and writes the settings file."""
        await self.store_link.open()
        await self.caller_link.open()
        self.write_settings(log_level=log_level)

    def write_settings(self, stop_grace_s=STOP_GRACE_S, log_level="info"):
        """Writes the settings file, which SIGHUP and a start apply."""
        internal_port = self.ports[FIRST_INTERNAL_PORT]
        self.settings_path.write_text(
            f"""[instance]
id = {self.id}
availability_zone = {self.zone}
region = region-1
ip = {self.host}
log_level = {log_level}
[listen]
callers = {self.caller_address}
readiness = {self.host}:{self.ports[READY_PORT]}
addresses = {self.host}:{self.ports[ADDRESS_PORT]}
first_internal_port = {internal_port}
contacts = {",".join(f"{host}:{internal_port}" for host in self.contacts)}
[store]
address = {self.store_link.address}
[bounds]
stop_grace_s = {stop_grace_s}
"""
        )

    def start(self):
        """Starts the process."""
        self.start_count += 1
        self.is_exit_expected = False
        self.newest_version_seen = 0
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "tamarackpier.daemon.hosted_start",
                    "--settings",
                    str(self.settings_path),
                ],
                stdout=output,
                stderr=output,
                cwd=self.build,
            )

    def handles_sighup(self):
        """Returns whether the process handles or ignores SIGHUP.

        Until then, the default action of SIGHUP would end the process.
        """
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            masks = dict(
                line.split(":", 1) for line in status.read_text().splitlines()
            )
            sighup_bit = 1 << (signal.SIGHUP - 1)
            handled_mask = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
            return bool(handled_mask & sighup_bit)
        return False

    def signal(self, number):
        """Sends a signal, unless the process has exited."""
        if self.process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_exit_expected = True
            self.process.send_signal(number)
