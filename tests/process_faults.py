"""Faults from outside on entry processes and on what they depend on.

A new fault is a function here: it begins the fault, lets it last, and ends it.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackpier import registry
from tamarackpier.standin import link

__all__ = ["FAULTS"]

Fault = Callable[[Any], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("process fault")


def _lasting_s(soak):
    return soak.rng.choice((0.3, 1.0, 2.0, 4.0, 7.0))


async def _harm_link(soak, found):
    modes = [each for each in link.LinkMode if each is not link.LinkMode.PASS]
    found.set_mode(soak.rng.choice(modes))
    found.delay_s = soak.rng.choice((0.05, 0.3, 1.0))
    await asyncio.sleep(_lasting_s(soak))
    found.set_mode(link.LinkMode.PASS)
    if soak.rng.random() < 0.5:
        found.reset()


@FAULTS.register("store_link")
async def _store_link(soak):
    await _harm_link(soak, soak.rng.choice(soak.entries).store_link)


@FAULTS.register("caller_link")
async def _caller_link(soak):
    await _harm_link(soak, soak.rng.choice(soak.entries).caller_link)


@FAULTS.register("engine_link")
async def _engine_link(soak):
    name = soak.rng.choice(sorted(soak.engine_links))
    await _harm_link(soak, soak.engine_links[name])


@FAULTS.register("kill")
async def _kill(soak):
    count = soak.rng.randrange(1, len(soak.entries) + 1)
    for entry in soak.rng.sample(soak.entries, count):
        entry.signal(signal.SIGKILL)


@FAULTS.register("pause")
async def _pause(soak):
    entry = soak.rng.choice(soak.entries)
    entry.signal(signal.SIGSTOP)
    await asyncio.sleep(_lasting_s(soak))
    entry.signal(signal.SIGCONT)


@FAULTS.register("stop")
async def _stop(soak):
    for entry in soak.rng.sample(soak.entries, 2):
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(soak.rng.uniform(0, 1))


@FAULTS.register("reload")
async def _reload(soak):
    for entry in soak.entries:
        if entry.takes_reloads():
            entry.signal(signal.SIGHUP)


@FAULTS.register("store_refuses")
async def _store_refuses(soak):
    soak.platform.store.refuses = True
    await asyncio.sleep(_lasting_s(soak))
    soak.platform.store.refuses = False


@FAULTS.register("store_loses_answers")
async def _store_loses_answers(soak):
    soak.platform.store.drops_answers = True
    await asyncio.sleep(_lasting_s(soak))
    soak.platform.store.drops_answers = False


@FAULTS.register("store_forgets")
async def _store_forgets(soak):
    soak.platform.store.drop_history()


@FAULTS.register("engines_die")
async def _engines_die(soak):
    alive = [
        each.record.id
        for each in soak.platform.fabric.engines.values()
        if each.is_alive and each.record.domain
    ]
    for name in soak.rng.sample(alive, min(2, len(alive))):
        soak.platform.fabric.kill(name)
        await asyncio.sleep(soak.rng.uniform(0, 0.5))
        await soak.add_engine("drafts", soak.rng.randrange(2))


@FAULTS.register("engine_cut")
async def _engine_cut(soak):
    name = soak.rng.choice(sorted(soak.engine_links))
    soak.platform.fabric.cut(name)
    await asyncio.sleep(_lasting_s(soak))
    soak.platform.fabric.engines[name].cut_at = None


@FAULTS.register("orders_late")
async def _orders_late(soak):
    soak.platform.delayed_order_share = 0.3
    await asyncio.sleep(_lasting_s(soak))
    soak.platform.delayed_order_share = 0.0


@FAULTS.register("configure")
async def _configure(soak):
    for _ in range(soak.rng.choice((1, 1, 3))):
        soak.configure()
        await asyncio.sleep(soak.rng.uniform(0, 0.2))
