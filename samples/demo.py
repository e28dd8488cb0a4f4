"""The demo: a morning sheet, load, a crashed member and a planned stop.

The demo sends requests to the processes that `demo.sh` started, causes
failures, and checks the outcomes that callers received. It starts no process
itself; it submits the sheet by calling the entry point of the command line.
"""

import asyncio
import collections
import dataclasses
import datetime
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

import aiohttp
import click
from click import testing

from tamarackpier import codes
from tamarackpier.cli import main as cli
from tamarackpier.load import client as client_lib
from tamarackpier.platform import interfaces
from tamarackpier.standin import engine

_PLATFORM = "http://127.0.0.1:8400"
_UPSTREAMS = {8411: "fabric-1", 8412: "fabric-2"}
_ENTRIES = (1, 2, 3)
_ZONES = {1: "zone-a", 2: "zone-b", 3: "zone-a"}
_ACCOUNT_KEYS = {"clerks-a": "clerks-a-key", "clerks-b": "clerks-b-key"}
_OPERATOR_KEY = "operator-key"
_EVENT_DELAY_S = 20.0  # Time from submitting the sheet to the event's start.
_SENDING_S = 14.0  # Time during which drafts and orders are sent.
_DRAFTS_PER_S = 8.0
_ORDERS_PER_S = 5.0
_TOKENS = 60
_REPLICAS = 2  # Replicas of the event, as in the sheet.
_SPAN = 4  # Engines in a replica, as in the sheet.


@click.group()
def main() -> None:
    """Runs the steps of the demo."""


@main.command("wait-port")
@click.argument("port", type=int)
def wait_port(port: int) -> None:
    """Waits until a process listens on a port."""
    asyncio.run(_wait_port(port))


@main.command("write-settings")
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def write_settings(folder: pathlib.Path) -> None:
    """Writes the daemons' settings and registers them with the platform."""
    sample = pathlib.Path(__file__).with_name("tamarackpierd.ini").read_text()
    for index in _ENTRIES:
        text = sample.replace("id = entry-1", f"id = entry-{index}")
        text = text.replace("zone-a", _ZONES[index])
        text = text.replace(":8441", f":{8440 + index}")
        text = text.replace(":8451", f":{8450 + index}")
        text = text.replace("address_keep_s = 10.0", "address_keep_s = 3.0")
        text = text.replace("load_s = 60.0", "load_s = 2.0")
        text = text.replace("lead_s = 60.0", "lead_s = 10.0")
        (folder / f"entry-{index}.ini").write_text(text)
    asyncio.run(_register_entries())


@main.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--rough",
    is_flag=True,
    help="Kill one daemon and pause another; stop none.",
)
def run(folder: pathlib.Path, rough: bool) -> None:
    """Runs the demo and prints a report as one line of JSON."""
    starts_at = _submit_sheet(folder)
    report = asyncio.run(_Demo(folder, starts_at, rough).run())
    click.echo(json.dumps(report))
    sys.exit(0 if report["kept_all_promises"] else 1)


def _submit_sheet(folder: pathlib.Path) -> float:
    """Submits the sheet and waits until its replicas serve.

    Returns:
        Start of the event, in Unix seconds.
    """
    start = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=_EVENT_DELAY_S
    )
    sample = pathlib.Path(__file__).with_name("morning.csv").read_text()
    sheet = sample.replace("2026-12-07 08:30", f"{start:%Y-%m-%d %H:%M:%S}")
    path = folder / "morning.csv"
    path.write_text(sheet.replace("Europe/Berlin", "UTC"))
    environment = {
        "TAMARACKPIER_ADDRESS": "127.0.0.1:8441 127.0.0.1:8442",
        "TAMARACKPIER_KEY": _OPERATOR_KEY,
    }
    asyncio.run(_wait_port(8441))
    asyncio.run(_wait_port(8442))
    for arguments in (
        ["sheet", "check", str(path)],
        ["sheet", "submit", str(path), "--wait-s", "10"],
        ["replicas", "--wait-serving", str(_REPLICAS), "--timeout-s", "30"],
    ):
        invocation = testing.CliRunner().invoke(
            cli.main, arguments, env=environment
        )
        click.echo(invocation.output, err=True)
        if invocation.exit_code:
            sys.exit(invocation.exit_code)
    return start.timestamp()


class _Demo:
    """One run of the demo.

    Attributes:
        folder: Directory with the process IDs of the daemons.
        rough: Whether to kill and pause daemons instead of stopping one.
        starts_at: Start of the event, in Unix seconds.
        drafts: Result and expected text of each draft.
        orders: Reference and result of each order.
        group_downtime_s: Time that replicas did not serve, summed over the
            replicas, in seconds.
        stranded_accelerator_s: Time that the remaining engines of these
            replicas could not be used, summed over the engines, in seconds.
        ready_at: Time at which all replicas served, in Unix seconds.
    """

    def __init__(
        self, folder: pathlib.Path, starts_at: float, rough: bool
    ) -> None:
        self.folder = folder
        self.rough = rough
        self.starts_at = starts_at
        self.drafts: list[tuple[client_lib.DraftResult, str]] = []
        self.orders: list[tuple[str, client_lib.OrderResult]] = []
        self.group_downtime_s = 0.0
        self.stranded_accelerator_s = 0.0
        self.ready_at = time.time()

    async def run(self) -> dict[str, Any]:
        """Sends requests, causes the failures and returns the report."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.sleep(max(0.0, self.starts_at - time.time()))
            sampler = asyncio.ensure_future(self._sample_downtime(session))
            await asyncio.gather(
                self._send_drafts(session),
                self._send_orders(session),
                self._crash_member(session),
                self._kill_and_pause_daemons()
                if self.rough
                else self._stop_daemon(),
            )
            sampler.cancel()
            runs = await self._count_order_runs(session)
            breaches = await self._count_breaches(session)
        return self._report(runs, breaches)

    async def _send_drafts(self, session: aiohttp.ClientSession) -> None:
        callers = self._create_callers(session)
        tasks = []
        for index in range(int(_SENDING_S * _DRAFTS_PER_S)):
            caller = callers[index % len(callers)]
            tasks.append(asyncio.ensure_future(self._send_draft(caller, index)))
            await asyncio.sleep(1 / _DRAFTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send_draft(self, caller: client_lib.Client, index: int) -> None:
        messages = [{"role": "user", "content": f"quotation {index}"}]
        result = await caller.draft("draft", messages, _TOKENS)
        self.drafts.append((result, engine.expected_text(messages, _TOKENS)))

    async def _send_orders(self, session: aiohttp.ClientSession) -> None:
        callers = self._create_callers(session)
        tasks = []
        for index in range(int(_SENDING_S * _ORDERS_PER_S)):
            reference = f"order-{index}"
            caller = callers[index % len(callers)]
            tasks.append(
                asyncio.ensure_future(self._send_order(caller, reference))
            )
            if index % 4 == 0:
                # Some orders are sent a second time at once, by another caller
                # of the same client account, as an impatient user does.
                second_caller = callers[(index + 1) % len(callers)]
                if second_caller.key == caller.key:
                    tasks.append(
                        asyncio.ensure_future(
                            self._send_order(second_caller, reference)
                        )
                    )
            await asyncio.sleep(1 / _ORDERS_PER_S)
        await asyncio.gather(*tasks)

    async def _send_order(
        self, caller: client_lib.Client, reference: str
    ) -> None:
        result = await caller.order(
            "orders", "orders", {"reference": reference}, reference
        )
        self.orders.append((reference, result))

    async def _crash_member(self, session: aiohttp.ClientSession) -> None:
        """Crashes a member, other than the lead, of a serving replica."""
        await asyncio.sleep(_SENDING_S * 0.25)
        replicas = await self._fetch_replicas(session, 8441)
        lead = replicas[0]["lead"]
        domain = replicas[0]["domain"]
        port = next(
            upstream_port
            for upstream_port, name in _UPSTREAMS.items()
            if name == domain
        )
        member = next(
            f"{domain}-e{index}"
            for index in range(_SPAN)
            if f"{domain}-e{index}" != lead
        )
        url = f"http://127.0.0.1:{port}/engines/{member}/faults"
        async with session.post(url, json={"kind": "crash"}):
            pass

    async def _stop_daemon(self) -> None:
        """Stops one daemon gracefully."""
        await asyncio.sleep(_SENDING_S * 0.45)
        os.kill(self._pid("entry-3"), signal.SIGTERM)

    async def _kill_and_pause_daemons(self) -> None:
        """Kills one daemon, and pauses another for longer than its lease."""
        await asyncio.sleep(_SENDING_S * 0.3)
        os.kill(self._pid("entry-3"), signal.SIGKILL)
        await asyncio.sleep(_SENDING_S * 0.1)
        os.kill(self._pid("entry-2"), signal.SIGSTOP)
        await asyncio.sleep(_SENDING_S * 0.5)
        os.kill(self._pid("entry-2"), signal.SIGCONT)

    def _pid(self, name: str) -> int:
        return int((self.folder / f"{name}.pid").read_text())

    async def _sample_downtime(self, session: aiohttp.ClientSession) -> None:
        """Integrates the downtime and stranding that one instance reports."""
        last_sample_at = time.monotonic()
        while True:
            await asyncio.sleep(0.1)
            replicas = await self._fetch_replicas(session, 8441)
            now = time.monotonic()
            elapsed_s, last_sample_at = now - last_sample_at, now
            serving = sum(1 for replica in replicas if replica["is_serving"])
            missing = max(0, _REPLICAS - serving)
            self.group_downtime_s += missing * elapsed_s
            self.stranded_accelerator_s += missing * (_SPAN - 1) * elapsed_s

    async def _fetch_replicas(
        self, session: aiohttp.ClientSession, port: int
    ) -> list[dict[str, Any]]:
        """Returns the replicas, those that serve first."""
        document = await self._fetch(session, port, "replicas")
        replicas = document["replicas"]
        return sorted(replicas, key=lambda replica: not replica["is_serving"])

    async def _count_breaches(self, session: aiohttp.ClientSession) -> int:
        total = 0
        for port in (8441, 8442):
            document = await self._fetch(session, port, "status")
            total += sum(document["breaches"].values())
        return total

    async def _fetch(
        self, session: aiohttp.ClientSession, port: int, endpoint: str
    ) -> dict[str, Any]:
        """Returns the response of an operators' endpoint."""
        headers = {"Authorization": f"Bearer {_OPERATOR_KEY}"}
        url = f"http://127.0.0.1:{port}/operator/{endpoint}"
        async with session.get(url, headers=headers) as response:
            return await response.json()

    async def _count_order_runs(
        self, session: aiohttp.ClientSession
    ) -> collections.Counter[str]:
        """Returns how often the services ran each order, by reference."""
        runs: collections.Counter[str] = collections.Counter()
        for port in _UPSTREAMS:
            url = f"http://127.0.0.1:{port}/service/orders"
            async with session.get(url) as response:
                runs.update((await response.json())["runs"])
        return runs

    def _create_callers(
        self, session: aiohttp.ClientSession
    ) -> list[client_lib.Client]:
        return [
            client_lib.Client(
                session,
                tuple(f"127.0.0.1:{8440 + index}" for index in _ENTRIES),
                key,
                name=f"{account}-{number}",
            )
            for account, key in _ACCOUNT_KEYS.items()
            for number in range(3)
        ]

    def _report(
        self, runs: collections.Counter[str], breaches: int
    ) -> dict[str, Any]:
        complete = codes.Outcome.COMPLETE
        complete_drafts = [
            result
            for result, expected in self.drafts
            if result.outcome is complete and result.text == expected
        ]
        wrong_drafts = [
            result
            for result, expected in self.drafts
            if result.outcome is complete and result.text != expected
        ]
        not_run_orders = self._orders_with_outcome(codes.Outcome.NOT_RUN)
        cut_drafts = [
            result
            for result, _ in self.drafts
            if result.outcome is codes.Outcome.INCOMPLETE_STREAM
            and result.address == "127.0.0.1:8443"
            and not self.rough
        ]
        repeated_orders = [
            reference for reference, count in runs.items() if count > 1
        ]
        contradicted_orders = [
            reference for reference in not_run_orders if runs[reference]
        ]
        lost_orders = [
            reference
            for reference, result in self.orders
            if result.outcome is complete and not runs[reference]
        ]
        refused_drafts = sum(
            1
            for result, _ in self.drafts
            if result.outcome is codes.Outcome.NOT_RUN
        )
        report: dict[str, Any] = {
            "drafts_sent": len(self.drafts),
            "drafts_whole": len(complete_drafts),
            "drafts_wrong": len(wrong_drafts),
            "orders_sent": len({reference for reference, _ in self.orders}),
            "orders_run": len(runs),
            "orders_run_twice": len(repeated_orders),
            "orders_unknown": len(
                self._orders_with_outcome(codes.Outcome.UNKNOWN)
            ),
            "orders_lost": len(lost_orders),
            "refused_not_run": len(not_run_orders) + refused_drafts,
            "not_run_but_run": len(contradicted_orders),
            "cut_by_planned_stop": len(cut_drafts),
            "group_downtime_s": round(self.group_downtime_s, 2),
            "stranded_accelerator_s": round(self.stranded_accelerator_s, 2),
            "ready_before_start": self.ready_at < self.starts_at,
            "invariants_broken": breaches,
        }
        violation_keys = (
            "drafts_wrong",
            "orders_run_twice",
            "orders_lost",
            "not_run_but_run",
            "cut_by_planned_stop",
            "invariants_broken",
        )
        report["kept_all_promises"] = (
            not any(report[name] for name in violation_keys)
            and report["ready_before_start"]
            and report["drafts_whole"] + refused_drafts == len(self.drafts)
        )
        return report

    def _orders_with_outcome(self, outcome: codes.Outcome) -> list[str]:
        """Returns the orders for which all callers received this outcome."""
        outcomes: dict[str, set[codes.Outcome]] = {}
        for reference, result in self.orders:
            outcomes.setdefault(reference, set()).add(result.outcome)
        return [
            reference
            for reference, received in outcomes.items()
            if received == {outcome}
        ]


async def _register_entries() -> None:
    """Adds the entry instances to the platform's instance list."""
    async with aiohttp.ClientSession() as session:
        for index in _ENTRIES:
            entry = interfaces.ListedInstance(
                f"entry-{index}",
                interfaces.InstanceKind.ENTRY,
                _ZONES[index],
                "",
                f"127.0.0.1:{8440 + index}",
                f"127.0.0.1:{8450 + index}",
            )
            body = dataclasses.asdict(entry)
            async with session.post(f"{_PLATFORM}/instances", json=body):
                pass


async def _wait_port(port: int) -> None:
    for _ in range(200):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        writer.close()
        return
    raise click.ClickException(f"no process listens on port {port}")


if __name__ == "__main__":
    main()
