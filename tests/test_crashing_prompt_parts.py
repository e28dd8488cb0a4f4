"""Tests of prompt parts that crash every engine that answers on them."""

import asyncio
import contextlib
import itertools
import time

import aiohttp

from tamarackpier import codes
from tamarackpier.platform import wire
from tamarackpier.routing import model as routing_model
from tests import deployment_fixtures

# Number of crashes after which a part may not reach engines, the time until
# all instances know of them, and the number of later requests that are
# accepted. All three are bounds that the platform states.
MAX_CRASHES = 5
KNOWN_AFTER_S = 3.0
MAX_LATE_REQUESTS = 3
# Time after the last crash that counts from which requests without the part
# must begin at their first attempt, and the share that must.
SOUND_AFTER_S = 6.0
MIN_SOUND_SHARE = 0.5
SHARED_PART = "5c1e07a2"
CRASHING_PART = "91bd3f06"
SECOND_CRASHING_PART = "77aa01c3"
PATH = "/draft/1"
LARGE = {"count": 3, "engine_count": 9, "domain_count": 4}


class _Traffic:
    """Callers that send requests, no two alike, to all instances in turn.

    Attributes:
        deployment: The deployment.
        outcomes: Time in seconds, kind and whether it was answered in full, of
            each request.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.outcomes = []
        self._numbers = itertools.count()
        self._tasks = set()

    async def post(self, kind, parts, key="key-1"):
        """Sends a request.

        Returns:
            Its HTTP status, 0 for a broken answer, and the body of the answer.
        """
        number = next(self._numbers)
        sent_at = time.monotonic()
        status, data = 0, b""
        with contextlib.suppress(aiohttp.ClientError):
            response, data = await self.deployment.post(
                PATH,
                f"{kind}-{number}",
                number % len(self.deployment.instances),
                b'{"prompt": "%d"}' % number,
                parts=",".join(f"{part}:40" for part in (*parts, f"{number}")),
                key=key,
            )
            status = response.status
        self.outcomes.append((sent_at, kind, status == 200))
        return status, data

    async def send(self, seconds, interval_s, kind, parts, key="key-1"):
        """Sends requests at an interval, without waiting for answers."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            task = asyncio.ensure_future(self.post(kind, parts, key))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s)
        await asyncio.gather(*self._tasks)

    def sound_share(self, kind, since):
        """Returns the share of requests of a kind that were answered."""
        answered = [
            is_answered
            for sent_at, sent_kind, is_answered in self.outcomes
            if sent_kind == kind and sent_at >= since
        ]
        assert len(answered) >= 20
        return sum(answered) / len(answered)


def _check_late_requests(platform, kind):
    """Checks how many crashing requests of a kind engines ran too late.

    Returns:
        Time of the crash from which they were to be stopped, in seconds.
    """
    crashes = [
        at for at, request_id in platform.crashes if request_id.startswith(kind)
    ]
    assert len(crashes) >= 2
    last_counted = crashes[min(MAX_CRASHES, len(crashes)) - 1]
    late = sum(at > last_counted + KNOWN_AFTER_S for at in crashes)
    assert late <= MAX_LATE_REQUESTS, f"{len(crashes)} crashes, {late} late"
    return last_counted


async def _check_mixed_traffic(deployment, crash_after, seconds=14.0):
    await deployment.until(lambda: min(deployment.serving()) >= 4)
    platform = deployment.platform
    platform.crashing_parts[CRASHING_PART] = crash_after
    traffic = _Traffic(deployment)
    await asyncio.gather(
        traffic.send(seconds, 0.4, "crash", (SHARED_PART, CRASHING_PART)),
        traffic.send(seconds, 0.15, "sound", (SHARED_PART,)),
    )
    last_counted = _check_late_requests(platform, "crash")
    share = traffic.sound_share("sound", last_counted + SOUND_AFTER_S)
    assert share >= MIN_SOUND_SHARE


def test_requests_that_share_a_crashing_part_stop_reaching_replicas():
    async def check(deployment):
        await _check_mixed_traffic(deployment, 2)

    deployment_fixtures.run(check, **LARGE)


def test_a_part_that_crashes_engines_before_their_answer_is_found():
    async def check(deployment):
        await _check_mixed_traffic(deployment, 0)

    deployment_fixtures.run(check, **LARGE)


def test_a_part_that_silences_engines_is_found():
    async def check(deployment):
        deployment.platform.crashes_silently = True
        await _check_mixed_traffic(deployment, 2, 22.0)

    deployment_fixtures.run(check, **LARGE)


def test_a_crashing_part_is_found_when_engines_return_under_new_ids():
    async def check(deployment):
        deployment.platform.renames_engines = True
        await _check_mixed_traffic(deployment, 2)

    deployment_fixtures.run(check, **LARGE)


def test_several_crashing_parts_are_found_beside_the_part_that_all_share():
    async def check(deployment):
        await deployment.until(lambda: min(deployment.serving()) >= 4)
        platform = deployment.platform
        platform.crashing_parts[CRASHING_PART] = 2
        platform.crashing_parts[SECOND_CRASHING_PART] = 1
        traffic = _Traffic(deployment)
        await asyncio.gather(
            traffic.send(16, 0.6, "first", (SHARED_PART, CRASHING_PART)),
            traffic.send(
                16, 0.7, "second", (SHARED_PART, SECOND_CRASHING_PART)
            ),
            traffic.send(16, 0.15, "sound", (SHARED_PART,)),
        )
        known_at = max(
            _check_late_requests(platform, kind) for kind in ("first", "second")
        )
        share = traffic.sound_share("sound", known_at + SOUND_AFTER_S)
        assert share >= MIN_SOUND_SHARE

    deployment_fixtures.run(check, **LARGE)


async def _find_crashing_part(traffic):
    """Sends crashing requests until one is refused for its part."""
    for _ in range(50):
        await traffic.post("sound", (SHARED_PART,))
        _, data = await traffic.post("crash", (SHARED_PART, CRASHING_PART))
        if codes.CRASH_SUSPECT.name.encode() in data:
            return
        await asyncio.sleep(0.2)
    raise AssertionError("no request was refused")


def test_a_crashing_part_stays_refused_after_a_restart_of_one_or_all():
    async def check(deployment):
        async def check_refusals():
            await deployment.until(lambda: all(deployment.serving()))
            for _ in range(4):
                _, data = await traffic.post(
                    "crash", (SHARED_PART, CRASHING_PART)
                )
                assert codes.CRASH_SUSPECT.name.encode() in data
                status, _ = await traffic.post("sound", (SHARED_PART,))
                assert status == 200

        await deployment.until(lambda: all(deployment.serving()))
        deployment.platform.crashing_parts[CRASHING_PART] = 2
        traffic = _Traffic(deployment)
        await _find_crashing_part(traffic)
        await deployment.until(
            lambda: all(
                instance.quarantine_store.stored
                for instance in deployment.instances
            )
        )
        crash_count = len(deployment.platform.crashes)
        await deployment.replace_instance(0)
        await check_refusals()
        for _ in range(2):
            await deployment.replace_instance(0)
        await check_refusals()
        assert len(deployment.platform.crashes) == crash_count

    deployment_fixtures.run(check, **(LARGE | {"count": 2}))


def test_an_account_that_names_parts_of_others_gets_only_itself_refused():
    async def check(deployment):
        deployment.platform.configure(
            deployment_fixtures.configuration(
                2,
                accounts={
                    "key-1": routing_model.Account("clerks", 1),
                    "key-2": routing_model.Account("liars", 1),
                },
            )
        )
        await deployment.until(
            lambda: all(
                instance.configuration.version == 2
                for instance in deployment.instances
            )
        )
        await deployment.until(lambda: min(deployment.serving()) >= 4)
        platform = deployment.platform
        traffic = _Traffic(deployment)
        # Another part of each of its requests crashes engines.
        for number in range(12):
            own_part = f"own{number}"
            platform.crashing_parts[own_part] = 1
            await traffic.post("lie", (SHARED_PART, own_part), "key-2")
            await asyncio.sleep(0.3)
        await deployment.until(lambda: all(deployment.serving()))
        response, data = await deployment.post(
            PATH, "liar", parts=f"{SHARED_PART}:40,x:1", key="key-2"
        )
        assert codes.CRASH_SUSPECT.name.encode() in data
        await asyncio.sleep(KNOWN_AFTER_S)
        await deployment.until(lambda: all(deployment.serving()))
        for _ in range(6):
            status, _ = await traffic.post("sound", (SHARED_PART,))
            assert status == 200

    deployment_fixtures.run(check, **LARGE)


def test_a_refusal_for_a_crashing_part_is_not_run_and_says_when_to_return():
    async def check(deployment):
        await deployment.until(lambda: all(deployment.serving()))
        deployment.platform.crashing_parts[CRASHING_PART] = 2
        traffic = _Traffic(deployment)
        await _find_crashing_part(traffic)
        await asyncio.sleep(KNOWN_AFTER_S)
        response, data = await deployment.post(
            PATH, "last", parts=f"{SHARED_PART}:1,{CRASHING_PART}:1,x:1"
        )
        assert response.status == 503
        assert codes.CRASH_SUSPECT.name.encode() in data
        assert float(response.headers[wire.Header.RETRY_AFTER]) > 10
        assert "last" not in deployment.platform.ran

    deployment_fixtures.run(check, **(LARGE | {"count": 2}))


def test_one_instance_tries_a_suspect_again():
    async def check(deployment):
        await deployment.until(
            lambda: all(
                len(instance.relay.limits.members) == 3
                for instance in deployment.instances
            )
        )
        for number in range(20):
            triers = [
                instance.relay.quarantine.may_try(f"suspect-{number}")
                for instance in deployment.instances
            ]
            assert sum(triers) == 1

    deployment_fixtures.run(check, count=3)
