"""Names and values that the platform's protocols fix."""

import enum

__all__ = ["EngineRowState", "Field", "Header", "Path", "Scheme"]


class Header:
    """Names of HTTP headers, in lower case."""

    REQUEST_ID = "tamarackpier-request-id"
    DEADLINE_MS = "tamarackpier-deadline-ms"
    TOKEN_COUNT = "tamarackpier-token-count"
    # The parts of the whole prompt, not only of its start.
    PROMPT_PARTS = "tamarackpier-prompt-prefix"
    MODEL = "tamarackpier-model"
    LAST_EVENT_ID = "last-event-id"
    # Its presence proves that an engine made the response; the value is not a
    # digest that could be verified.
    PROOF = "tamarackpier-server-seal"
    ACCOUNT = "tamarackpier-tenant"
    EXPECT_ENGINE = "tamarackpier-expect-instance"
    EXPECT_VERSION = "tamarackpier-expect-version"
    ENGINE = "tamarackpier-instance-id"
    NOT_RUN = "tamarackpier-not-executed"
    PRIORITY = "tamarackpier-request-priority"
    # Requests a second that an engine takes from all instances together.
    REQUEST_RATE = "server-limit"
    # Milliseconds for which an engine is still cold.
    COLD_MS = "tamarackpier-cold-ms"
    # "1" in all answers of an engine that shuts down.
    LEAVING = "server-leaving"
    # Seconds; from an engine, with 503: the time for which it wants nothing
    # more from the instance that gets the answer.
    RETRY_AFTER = "retry-after"
    # Number of times that the store lost its latest changes.
    STORE_ERA = "store-era"
    AUTHORIZATION = "authorization"


class Path:
    """URL paths of the calls between callers, instances, engines and store."""

    READY = "/tamarackpier/readiness"
    RESOLVE = "/tamarackpier/resolve"
    REPORT = "/tamarackpier/report"
    ORDER = "/tamarackpier/order"
    ROWS_CHANGE = "/tamarackpier/rows-tx"
    ROWS_GET = "/tamarackpier/rows-get"
    ROWS_FEED = "/tamarackpier/rows-feed"


class Scheme:
    """Authorization schemes, as the prefix of the header's value."""

    KEY = "Token "


class Field(enum.StrEnum):
    """Tables and keys of the row store that belong to the platform."""

    OPERATOR_TABLE = "op"
    CONFIGURATION_KEY = "config"
    # Before the name of an evacuated zone, in the operator's table.
    EVACUATION_PREFIX = "evacuate/"
    ENGINES_TABLE = "servers"


class EngineRowState(enum.StrEnum):
    """States of an engine in its row."""

    DRAINING = "draining"
    READY = "ready"
