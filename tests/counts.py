"""A nose2 plugin that records which tests ran and which failed."""

from nose2 import events

RAN: list[str] = []
FAILED: list[str] = []


class Counts(events.Plugin):
    """Collects the outcomes that `tests.run` summarizes in its last lines."""

    configSection = "counts"  # noqa: N815
    alwaysOn = True  # noqa: N815

    def testOutcome(self, event):  # noqa: N802
        """Records the outcome of one test."""
        name = event.test.id().splitlines()[0]
        RAN.append(name)
        if event.outcome in ("error", "failed") and not event.expected:
            FAILED.append(name)
