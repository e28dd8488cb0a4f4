"""Tests that settings are typed and that one run lists all faults."""

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import settings
from tests import fixtures


def test_sample_is_valid():
    sample = fixtures.sample_settings()
    assert sample.instance.id == "entry-1"
    assert set(sample.accounts) == {"clerks-a", "clerks-b"}
    assert len(sample.services["orders"].upstreams) == 2


def test_every_fault_is_listed_with_its_location():
    text = fixtures.sample_settings_text()
    text = text.replace("timeout_s = 2.0", "timeout_s = soon")
    text = text.replace("queue_length = 256", "queue_length = -1")
    text = text.replace("drain_s = 600.0", "drain_s = 600.0\nspeed = 3")
    text = text.replace("[objective]", "[objectives]")
    outcome = settings.from_text(text, "x.ini")
    assert sorted(fixtures.failure_numbers(outcome)) == [1002, 1003, 1004, 1004]
    locations = [fault.where for fault in outcome.failure()]
    assert "x.ini [timing] speed" in locations
    assert "x.ini [platform] timeout_s" in locations


def test_missing_keys_and_sections():
    outcome = settings.from_text("[instance]\nid = x\n")
    assert set(fixtures.failure_numbers(outcome)) == {1005}
    joined_locations = " ".join(fault.where for fault in outcome.failure())
    assert "caller_address" in joined_locations
    assert "[platform] url" in joined_locations


def test_text_that_is_not_ini():
    outcome = settings.from_text("what is this")
    assert fixtures.failure_numbers(outcome) == [1006]


def test_evidence_bound_must_cover_two_probes():
    text = fixtures.sample_settings_text()
    text = text.replace("evidence_bound_s = 2.5", "evidence_bound_s = 0.6")
    assert not pipeline.is_successful(settings.from_text(text))


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.integers(0, 80),
    strategies.text(alphabet=strategies.characters(codec="utf-8"), max_size=40),
)
def test_any_line_is_accepted_or_gives_numbered_faults(index, line):
    lines = fixtures.sample_settings_text().splitlines()
    lines[index % len(lines)] = line
    outcome = settings.from_text("\n".join(lines))
    if not pipeline.is_successful(outcome):
        numbers = fixtures.failure_numbers(outcome)
        assert numbers
        assert all(1000 < number < 2000 for number in numbers)
