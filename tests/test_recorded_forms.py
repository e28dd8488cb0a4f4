"""Tests that this build reads what earlier builds send and write."""

import base64
import contextlib
import json

import hypothesis
from google.protobuf import message
from hypothesis import strategies

from tamarackpier.platform import interfaces
from tamarackpier.replica import lease
from tamarackpier.wire import entry_pb2
from tests import exchange_fixtures, recorded_forms

FORMS = json.loads(recorded_forms.PATH.read_text())
STATUSES = {
    build: base64.b64decode(form["status"]) for build, form in FORMS.items()
}
# A field number that no build uses, with a value of one byte.
UNKNOWN_FIELD = b"\x80\x7d\x01"


def _receive(data):
    """Returns an instance that has received a status message."""
    node = exchange_fixtures.Node(2, [], lambda: recorded_forms.NOW)
    node.statuses.receive(entry_pb2.EntryStatus.FromString(data))
    return node


def _check_knows_all(node):
    """Checks that an instance knows all that the recorded message says."""
    (peer,) = node.roster.live(recorded_forms.NOW)
    assert (peer.id, peer.is_ready) == ("entry-001", True)
    version = recorded_forms.CONFIGURATION_VERSION
    holders = node.statuses.configuration_holders(version)
    assert [one.id for one in holders] == [peer.id]
    assert node.statuses.newest_configuration_version() == version
    usage = node.relay.replica_loads.usage(recorded_forms.KEY)
    assert (usage.running, usage.reading_tokens) == (
        1,
        recorded_forms.PROMPT_TOKENS,
    )
    engine = node.fleet.engines[recorded_forms.ENGINE]
    assert engine.is_leaving
    assert node.relay.limits.rate(engine) == recorded_forms.MAX_RATE
    ((suspension, _),) = node.suspended
    assert suspension.key == recorded_forms.KEY
    assert suspension.silent == (recorded_forms.ENGINE,)
    deaths = node.relay.quarantine.counted_deaths(
        recorded_forms.FINGERPRINT, recorded_forms.NOW
    )
    assert deaths == {"o0@1", "o1@1", "o2@1"}


def test_status_messages_of_earlier_builds_lose_nothing():
    for data in STATUSES.values():
        _check_knows_all(_receive(data))


def test_fields_of_a_later_build_are_ignored_without_loss():
    for data in STATUSES.values():
        _check_knows_all(_receive(data + UNKNOWN_FIELD))


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(
    strategies.sampled_from(sorted(STATUSES)), strategies.integers(0, 2000)
)
def test_truncated_status_messages_are_refused_or_harmless(build, length):
    with contextlib.suppress(message.DecodeError):
        _receive(STATUSES[build][:length])


def test_leases_of_earlier_builds_are_kept_until_they_expire():
    for form in FORMS.values():
        row = interfaces.Row("lease/zone-a", 1, form["lease"])
        readable = lease.readable(row, recorded_forms.LEASE_S)
        assert readable.value is not None
        observation = lease.observe(None, readable, 0.0)
        for age_s, kind in (
            (0.9 * recorded_forms.LEASE_S, lease.StepKind.READ),
            (1.1 * recorded_forms.LEASE_S, lease.StepKind.ACQUIRE),
        ):
            step = lease.decide(
                observation, None, "entry-002/1", recorded_forms.LEASE_S, age_s
            )
            assert step.kind is kind
        assert step.number > form["lease"]["number"]


def test_this_build_is_recorded_in_the_form_that_it_sends():
    present = entry_pb2.EntryStatus.FromString(STATUSES["present"])
    assert recorded_forms.status() == present, (
        "record the build before this change under its commit, then this one: "
        "python -m tests.recorded_forms present"
    )
    assert recorded_forms.lease_value() == FORMS["present"]["lease"]
