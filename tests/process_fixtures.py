"""What the runs of real entry processes have in common."""

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

GRACE_S = 2.0
REQUEST_S = 5.0
CALLER_PORT, READY_PORT, ADDRESS_PORT, FIRST_INTERNAL_PORT = range(4)


def headers(request_id):
    """Returns the headers of a caller's request."""
    return {
        "Host": "a.example",
        "Authorization": "Token key-1",
        wire.Header.REQUEST_ID: request_id,
        wire.Header.DEADLINE_MS: str(int(REQUEST_S * 1e3)),
        wire.Header.MODEL: "large",
        wire.Header.TOKEN_COUNT: f"100,{EVENTS}",
    }


EVENTS = 12
WHOLE_DRAFT = b"".join(
    b"id: %d\ndata: e%d\n\n" % (number, number)
    for number in range(1, EVENTS + 1)
)
SPEC = dataclasses.replace(
    hosted_fixtures.SPEC,
    models=tuple(
        dataclasses.replace(each, load_s=0.3, warm_s=0.1)
        for each in hosted_fixtures.MODELS
    ),
)
SERVICES = {
    "drafts": routing_model.ServiceSpec("drafts", SPEC),
    "orders": routing_model.ServiceSpec("orders", None),
}
ORDERS = (routing_model.ServiceChoice("orders", 1.0),)
ROUTES = (
    hosted_fixtures.route(timeout_s=6.0),
    hosted_fixtures.route(
        name="o",
        prefix="/order/",
        kind=routing_model.RouteKind.ONCE,
        choices=ORDERS,
        timeout_s=6.0,
    ),
)


class Entry:
    """An entry instance: its process, its links and its output."""

    def __init__(self, index, host, first_port, folder, store, contacts):
        self.id = f"entry-{index}"
        self.zone = f"zone-{index % 2}"
        self.host = host
        self.ports = [first_port + offset for offset in range(5)]
        self.caller_address = f"{host}:{self.ports[CALLER_PORT]}"
        self.store_link = link.Link(store, f"{host}:{first_port + 6}")
        self.caller_link = link.Link(
            self.caller_address, f"{host}:{first_port + 7}"
        )
        self.settings = folder / f"{self.id}.ini"
        self.output = folder / f"{self.id}.log"
        self.contacts = contacts
        self.process = None
        self.starts = 0
        self.is_ending = False
        self.newest_seen = 0

    async def prepare(self, log_level="info"):
        """Opens the links and writes the settings."""
        await self.store_link.open()
        await self.caller_link.open()
        internal = self.ports[FIRST_INTERNAL_PORT]
        self.settings.write_text(
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
first_internal_port = {internal}
contacts = {",".join(f"{each}:{internal}" for each in self.contacts)}
[store]
address = {self.store_link.address}
[bounds]
stop_grace_s = {GRACE_S}
"""
        )

    def start(self):
        """Starts the process."""
        self.starts += 1
        self.is_ending = False
        self.newest_seen = 0
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "tamarackpier.daemon.hosted_start",
                    "--settings",
                    str(self.settings),
                ],
                stdout=output,
                stderr=output,
            )

    def handles_sighup(self):
        """Returns whether the interpreter has come so far as to say so."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            masks = dict(
                line.split(":", 1) for line in status.read_text().splitlines()
            )
            bit = 1 << (signal.SIGHUP - 1)
            handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
            return bool(handled & bit)
        return False

    def signal(self, number):
        """Sends a signal, unless the process is gone."""
        if self.process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_ending = True
            self.process.send_signal(number)
