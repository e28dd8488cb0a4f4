"""Faults injected into entry processes, their links and their dependencies.

Each registered function is one kind of fault: it starts the fault, waits for
its duration, and ends it. The names of the faults are part of the random
sequence of a seed, since a run draws from the sorted names.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackpier import registry
from tamarackpier.standin import link

__all__ = ["FAULTS", "restore_store"]

Fault = Callable[[Any], Awaitable[None]]
_RESTORES = 3
FAULTS: registry.Registry[Fault] = registry.Registry("process fault")


def _duration_s(soak):
    return soak.rng.choice((0.3, 1.0, 2.0, 4.0, 7.0))


async def _disrupt_link(soak, target):
    modes = [mode for mode in link.LinkMode if mode is not link.LinkMode.PASS]
    target.set_mode(soak.rng.choice(modes))
    target.delay_s = soak.rng.choice((0.05, 0.3, 1.0))
    await asyncio.sleep(_duration_s(soak))
    target.set_mode(link.LinkMode.PASS)
    if soak.rng.random() < 0.5:
        target.reset()


@FAULTS.register("store_link")
async def _store_link(soak):
    await _disrupt_link(soak, soak.rng.choice(soak.entries).store_link)


@FAULTS.register("caller_link")
async def _caller_link(soak):
    await _disrupt_link(soak, soak.rng.choice(soak.entries).caller_link)


@FAULTS.register("engine_link")
async def _engine_link(soak):
    name = soak.rng.choice(sorted(soak.engine_links))
    await _disrupt_link(soak, soak.engine_links[name])


@FAULTS.register("kill")
async def _kill(soak):
    count = soak.rng.randrange(1, len(soak.entries) + 1)
    for entry in soak.rng.sample(soak.entries, count):
        entry.signal(signal.SIGKILL)


@FAULTS.register("pause")
async def _pause(soak):
    entry = soak.rng.choice(soak.entries)
    entry.signal(signal.SIGSTOP)
    await asyncio.sleep(_duration_s(soak))
    entry.signal(signal.SIGCONT)


@FAULTS.register("stop")
async def _stop(soak):
    for entry in soak.rng.sample(soak.entries, 2):
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(soak.rng.uniform(0, 1))


@FAULTS.register("reload")
async def _reload(soak):
    for entry in soak.entries:
        if entry.handles_sighup():
            entry.signal(signal.SIGHUP)


@FAULTS.register("store_refuses")
async def _store_refuses(soak):
    soak.platform.store.refuses = True
    await asyncio.sleep(_duration_s(soak))
    soak.platform.store.refuses = False


@FAULTS.register("store_loses_answers")
async def _store_loses_answers(soak):
    soak.platform.store.drops_answers = True
    await asyncio.sleep(_duration_s(soak))
    soak.platform.store.drops_answers = False


@FAULTS.register("store_forgets")
async def _store_forgets(soak):
    soak.platform.store.drop_history()


@FAULTS.register("engines_die")
async def _engines_die(soak):
    live_names = [
        engine.record.id
        for engine in soak.platform.fabric.engines.values()
        if engine.is_alive and engine.record.domain
    ]
    for name in soak.rng.sample(live_names, min(2, len(live_names))):
        soak.platform.fabric.kill(name)
        await asyncio.sleep(soak.rng.uniform(0, 0.5))
        await soak.add_engine("drafts", soak.rng.randrange(2))


@FAULTS.register("engine_cut")
async def _engine_cut(soak):
    name = soak.rng.choice(sorted(soak.engine_links))
    soak.platform.fabric.cut(name)
    await asyncio.sleep(_duration_s(soak))
    soak.platform.fabric.engines[name].cut_at = None


@FAULTS.register("orders_late")
async def _orders_late(soak):
    soak.platform.delayed_order_share = 0.3
    await asyncio.sleep(_duration_s(soak))
    soak.platform.delayed_order_share = 0.0


@FAULTS.register("configure")
async def _configure(soak):
    for _ in range(soak.rng.choice((1, 1, 3))):
        soak.configure()
        await asyncio.sleep(soak.rng.uniform(0, 0.2))


async def restore_store(soak, seconds):
    """Restores the store from a copy a few times within `seconds`.

    It is no fault in `FAULTS`, so that seeds draw the same faults as before.
    """
    rng = random.Random(soak.seed + 2)
    for _ in range(_RESTORES):
        copy = soak.platform.store.copy()
        await asyncio.sleep(rng.uniform(0.3, seconds / _RESTORES))
        soak.platform.restore(copy)
        soak.configure()
        soak.report.faults["store_restored"] += 1
