"""Registry of the numbered result codes, shared by all processes.

The thousands digit of a code is its class. A command exits with that digit, so
that a script can tell bad settings from a full queue without parsing text.
"""

import dataclasses
import enum
from collections.abc import Iterator

__all__ = [
    "Fault",
    "Outcome",
    "ResultCode",
    "Retry",
    "all_codes",
    "by_number",
    "fault",
]


class Outcome(enum.Enum):
    """Outcome of a request, as far as it is known.

    With `UNKNOWN` the request may or may not have run.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    FAILED_AFTER_RUNNING = "failed_after_running"
    UNKNOWN = "unknown"
    INCOMPLETE_STREAM = "incomplete_stream"


class Retry(enum.Enum):
    """Whether and when a client may retry the same request.

    With `AFTER_CHANGE` a retry is of no use until the reported cause is
    corrected. With `ASK_FIRST` the client must first query the request's
    outcome.
    """

    NO = "no"
    AFTER_CHANGE = "after_change"
    LATER = "later"
    ASK_FIRST = "ask_first"


@dataclasses.dataclass(frozen=True)
class ResultCode:
    """One kind of refusal or failure.

    Attributes:
        number: Unique number; its thousands digit is the class.
        name: Identifier used in counters and logs.
        outcome: Outcome of the request.
        status: HTTP status of a response with this code.
        retry: Whether and when to retry the request.
        meaning: Description in one sentence, for the table in the docs.
    """

    number: int
    name: str
    outcome: Outcome
    status: int
    retry: Retry
    meaning: str

    @property
    def exit_status(self) -> int:
        """The exit status of a command that ends with this code."""
        return self.number // 1000


@dataclasses.dataclass(frozen=True)
class Fault:
    """A result code with the details of one occurrence.

    Attributes:
        code: The result code.
        detail: Description of what was found and what was expected.
        where: File, section, row, column or peer; empty if there is none.
        retry_after_s: Seconds to wait before a retry; None if a retry is
            of no use.
    """

    code: ResultCode
    detail: str
    where: str = ""
    retry_after_s: float | None = None

    def __str__(self) -> str:
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.code.number} {self.code.name}: {self.detail}"


def fault(
    code: ResultCode,
    detail: str,
    where: str = "",
    retry_after_s: float | None = None,
) -> Fault:
    """Returns a fault; a shorthand for the constructor."""
    return Fault(code, detail, where, retry_after_s)


_BY_NUMBER: dict[int, ResultCode] = {}


def _define(
    number: int,
    name: str,
    status: int,
    retry: Retry,
    meaning: str,
    outcome: Outcome = Outcome.NOT_RUN,
) -> ResultCode:
    if number in _BY_NUMBER:
        raise ValueError(f"result code {number} is defined twice")
    code = ResultCode(number, name, outcome, status, retry, meaning)
    _BY_NUMBER[number] = code
    return code


def all_codes() -> Iterator[ResultCode]:
    """Yields all result codes in ascending order of their numbers."""
    for number in sorted(_BY_NUMBER):
        yield _BY_NUMBER[number]


def by_number(number: int) -> ResultCode | None:
    """Returns the result code with the given number, or None."""
    return _BY_NUMBER.get(number)


_AFTER_CHANGE = Retry.AFTER_CHANGE
_LATER = Retry.LATER
_ASK_FIRST = Retry.ASK_FIRST

SETTINGS_UNREADABLE = _define(
    1001,
    "settings_unreadable",
    500,
    _AFTER_CHANGE,
    "The settings file can't be read.",
)
SETTINGS_UNKNOWN_SECTION = _define(
    1002,
    "settings_unknown_section",
    500,
    _AFTER_CHANGE,
    "The section is unknown.",
)
SETTINGS_UNKNOWN_KEY = _define(
    1003,
    "settings_unknown_key",
    500,
    _AFTER_CHANGE,
    "The section has no such key.",
)
SETTINGS_BAD_VALUE = _define(
    1004,
    "settings_bad_value",
    500,
    _AFTER_CHANGE,
    "A value has the wrong type or is out of range.",
)
SETTINGS_MISSING_KEY = _define(
    1005,
    "settings_missing_key",
    500,
    _AFTER_CHANGE,
    "A required key is missing.",
)
SETTINGS_SYNTAX = _define(
    1006,
    "settings_syntax",
    500,
    _AFTER_CHANGE,
    "The file is not well-formed INI.",
)

ROUTE_SHADOWED = _define(
    1101,
    "route_shadowed",
    500,
    _AFTER_CHANGE,
    "A route before it has the same host and path prefix, so it never matches.",
)
ROUTE_UNREACHABLE = _define(
    1102,
    "route_unreachable",
    500,
    _AFTER_CHANGE,
    "A route has no host, or a prefix that no path begins with.",
)
SERVICE_UNKNOWN = _define(
    1103,
    "service_unknown",
    500,
    _AFTER_CHANGE,
    "A route names a service that the configuration doesn't have.",
)
ROUTE_WITHOUT_WEIGHT = _define(
    1104,
    "route_without_weight",
    500,
    _AFTER_CHANGE,
    "A service of a route has no weight, so it gets no request.",
)
ACCOUNT_WITHOUT_KEYS = _define(
    1105,
    "account_without_keys",
    500,
    _AFTER_CHANGE,
    "An account has no key, so no request is its.",
)
KEY_SHARED = _define(
    1106,
    "key_shared",
    500,
    _AFTER_CHANGE,
    "Two accounts hold the same key; the later one gets its requests.",
)
LIMITS_CONTRADICT = _define(
    1107,
    "limits_contradict",
    500,
    _AFTER_CHANGE,
    "Limits contradict each other, or leave no room for any request.",
)
VERSION_NOT_NEWER = _define(
    1108,
    "version_not_newer",
    500,
    _AFTER_CHANGE,
    "The version is not above the one in force, so it is ignored.",
)

SHEET_NOT_TEXT = _define(
    2001, "sheet_not_text", 400, _AFTER_CHANGE, "The sheet is not UTF-8 text."
)
SHEET_EMPTY = _define(
    2002, "sheet_empty", 400, _AFTER_CHANGE, "The sheet has no rows."
)
SHEET_MISSING_COLUMN = _define(
    2003,
    "sheet_missing_column",
    400,
    _AFTER_CHANGE,
    "A required column is missing.",
)
SHEET_UNKNOWN_COLUMN = _define(
    2004, "sheet_unknown_column", 400, _AFTER_CHANGE, "A column is unknown."
)
SHEET_BAD_VALUE = _define(
    2005,
    "sheet_bad_value",
    400,
    _AFTER_CHANGE,
    "A cell has a wrong format or is out of range.",
)
SHEET_DUPLICATE_ROW = _define(
    2006,
    "sheet_duplicate_row",
    400,
    _AFTER_CHANGE,
    "Two rows name the same event, model and account.",
)
SHEET_INCONSISTENT_EVENT = _define(
    2007,
    "sheet_inconsistent_event",
    400,
    _AFTER_CHANGE,
    "Rows of one event disagree on its times, or of one model on its size.",
)
SHEET_BAD_TIME = _define(
    2008,
    "sheet_bad_time",
    400,
    _AFTER_CHANGE,
    "A start time does not exist, is ambiguous, or its time zone is unknown.",
)
SHEET_UNKNOWN_ACCOUNT = _define(
    2009,
    "sheet_unknown_account",
    400,
    _AFTER_CHANGE,
    "The client account is not configured.",
)
SHEET_TOO_LARGE = _define(
    2010,
    "sheet_too_large",
    413,
    _AFTER_CHANGE,
    "The sheet has too many bytes or rows.",
)
SHEET_CONFLICT = _define(
    2011,
    "sheet_conflict",
    409,
    _AFTER_CHANGE,
    "Another change was accepted first; the detail names it.",
)
SHEET_NOT_SETTLED = _define(
    2012,
    "sheet_not_settled",
    504,
    _ASK_FIRST,
    "The response to the write was lost; a read has not yet shown its outcome.",
    Outcome.UNKNOWN,
)
SHEET_UNKNOWN_ROW = _define(
    2013,
    "sheet_unknown_row",
    400,
    _AFTER_CHANGE,
    "A change removes a row that does not exist.",
)
SHEET_RAGGED_ROW = _define(
    2014,
    "sheet_ragged_row",
    400,
    _AFTER_CHANGE,
    "A row has more or fewer cells than the header.",
)

NO_KEY = _define(
    3001,
    "no_key",
    401,
    _AFTER_CHANGE,
    "The request's Authorization header has no key.",
)
UNKNOWN_KEY = _define(
    3002, "unknown_key", 401, _AFTER_CHANGE, "The key is unknown."
)
NOT_ALLOWED = _define(
    3003,
    "not_allowed",
    403,
    _AFTER_CHANGE,
    "The key has no access to this endpoint.",
)
BAD_BODY = _define(
    3004,
    "bad_body",
    400,
    _AFTER_CHANGE,
    "The body is not in the format that the endpoint expects.",
)
BODY_TOO_LARGE = _define(
    3005, "body_too_large", 413, _AFTER_CHANGE, "The body exceeds the limit."
)
NO_SUCH_PATH = _define(
    3006, "no_such_path", 404, _AFTER_CHANGE, "The endpoint does not exist."
)
NO_SUCH_MODEL = _define(
    3007,
    "no_such_model",
    404,
    _AFTER_CHANGE,
    "No event in force serves this model.",
)
NO_SUCH_SERVICE = _define(
    3008,
    "no_such_service",
    404,
    _AFTER_CHANGE,
    "No plain service has this name.",
)
BODY_TIMEOUT = _define(
    3009, "body_timeout", 408, _LATER, "The body did not arrive in time."
)
NO_ROUTE = _define(
    3010,
    "no_route",
    404,
    _AFTER_CHANGE,
    "No route in force has this host and path.",
)
HEAD_TOO_LARGE = _define(
    3011,
    "head_too_large",
    431,
    _AFTER_CHANGE,
    "The request's head exceeds the limit.",
)
HEAD_TIMEOUT = _define(
    3012,
    "head_timeout",
    408,
    _LATER,
    "The request's head did not arrive in time; the request has not run.",
)
REQUEST_UNREADABLE = _define(
    3013,
    "request_unreadable",
    400,
    _AFTER_CHANGE,
    "The request isn't whole, or can't be passed on unchanged.",
)
ACCOUNT_OVER_SHARE = _define(
    3101,
    "account_over_share",
    429,
    _LATER,
    "The client account has used up its share.",
)
QUEUE_FULL = _define(
    3102, "queue_full", 503, _LATER, "The queue of waiting requests is full."
)
DEADLINE_TOO_NEAR = _define(
    3103,
    "deadline_too_near",
    503,
    _LATER,
    "The request would not have run before its deadline.",
)
NO_REPLICA = _define(
    3104,
    "no_replica",
    503,
    _LATER,
    "No whole replica of the model is serving.",
)
LEAVING = _define(
    3105,
    "leaving",
    503,
    _LATER,
    "This entry instance is shutting down; look up another address.",
)
NOT_CONFIGURED = _define(
    3111,
    "not_configured",
    503,
    _LATER,
    "This entry instance has no configuration yet.",
)
NO_UPSTREAM = _define(
    3112, "no_upstream", 503, _LATER, "No engine of the service is known."
)
UPSTREAMS_FULL = _define(
    3113,
    "upstreams_full",
    503,
    _LATER,
    "Every engine that could run the request is full.",
)
UPSTREAMS_LIMITED = _define(
    3115,
    "upstreams_limited",
    503,
    _LATER,
    "Every engine that could run the request gets as many as it takes.",
)
UPSTREAMS_WAITING = _define(
    3116,
    "upstreams_waiting",
    503,
    _LATER,
    "Every engine that could run the request asked for a pause.",
)
ZONES_EVACUATED = _define(
    3117,
    "zones_evacuated",
    503,
    _LATER,
    "Every engine of the service is in an availability zone that the operator"
    " has evacuated.",
)
CALLER_MEMORY = _define(
    3120,
    "caller_memory",
    503,
    _LATER,
    "Requests and answers of all callers take up too much memory together.",
)
CAPACITY_DIVIDED = _define(
    3118,
    "capacity_divided",
    503,
    _LATER,
    "The model's free capacity goes to other requests of equal urgency.",
)
OUTRANKED = _define(
    3119,
    "outranked",
    503,
    _LATER,
    "More urgent requests get the model's free capacity.",
)
ACCOUNT_AT_SHARE = _define(
    3121,
    "account_at_share",
    503,
    _LATER,
    "The account has its share of a full service, and others want theirs.",
)
PAST_OBJECTIVE = _define(
    3122,
    "past_objective",
    503,
    _LATER,
    "The request can't be on time any more, and no capacity is left over.",
)
CONFIGURATION_OUTDATED = _define(
    3123,
    "configuration_outdated",
    503,
    _LATER,
    "No route or key matches, but a newer configuration may have one.",
)
QUARANTINED = _define(
    3106,
    "quarantined",
    422,
    _AFTER_CHANGE,
    "Requests like this crashed upstreams; they are refused for some time.",
)
CRASH_SUSPECT = _define(
    3114,
    "crash_suspect",
    503,
    _LATER,
    "Requests like this crashed upstreams; this one was not run.",
)
NO_SUCH_REQUEST = _define(
    3107,
    "no_such_request",
    404,
    _AFTER_CHANGE,
    "No record of the request is kept.",
)
KEY_REUSED = _define(
    3108,
    "key_reused",
    422,
    _AFTER_CHANGE,
    "The idempotency key was used before with a different request.",
)
IN_FLIGHT = _define(
    3109,
    "in_flight",
    409,
    _ASK_FIRST,
    "The same request is still running; query its outcome.",
    Outcome.UNKNOWN,
)
RECORD_UNAVAILABLE = _define(
    3110,
    "record_unavailable",
    503,
    _LATER,
    "The record that prevents a second run of the call can't be written now.",
)

UPSTREAM_REFUSED = _define(
    4001,
    "upstream_refused",
    503,
    _LATER,
    "The upstream proved that it did not run the request.",
    Outcome.REFUSED_BY_UPSTREAM,
)
UPSTREAM_UNREACHABLE = _define(
    4002,
    "upstream_unreachable",
    503,
    _LATER,
    "No connection to the upstream could be opened.",
)
OUTCOME_UNKNOWN = _define(
    4003,
    "outcome_unknown",
    504,
    _ASK_FIRST,
    "The upstream may have run the request; query it by its identifier.",
    Outcome.UNKNOWN,
)
UPSTREAM_FAILED = _define(
    4004,
    "upstream_failed",
    502,
    _LATER,
    "The upstream failed while it ran the request.",
    Outcome.FAILED_AFTER_RUNNING,
)
STREAM_INCOMPLETE = _define(
    4005,
    "stream_incomplete",
    502,
    _LATER,
    "The response stream broke off and could not be resumed.",
    Outcome.INCOMPLETE_STREAM,
)
STREAM_SILENT = _define(
    4006,
    "stream_silent",
    504,
    _LATER,
    "The upstream's stream made no progress.",
    Outcome.INCOMPLETE_STREAM,
)
REPLICA_NOT_WHOLE = _define(
    4007,
    "replica_not_whole",
    503,
    _LATER,
    "The replica lost a member or changed its fencing number.",
)
BAD_UPSTREAM_DATA = _define(
    4008,
    "bad_upstream_data",
    502,
    _LATER,
    "The upstream sent data that violates its protocol.",
    Outcome.FAILED_AFTER_RUNNING,
)
CONNECTION_REFUSED = _define(
    4010,
    "connection_refused",
    503,
    _LATER,
    "The upstream's port is closed: its process has ended.",
)
UPSTREAM_REPLACED = _define(
    4011,
    "upstream_replaced",
    503,
    _LATER,
    "Another process serves at the upstream's address.",
)
ORDER_REFUSED = _define(
    4009,
    "order_refused",
    409,
    Retry.NO,
    "An engine refused an order, such as one with an old fencing number.",
)

TABLE_UNAVAILABLE = _define(
    5001,
    "table_unavailable",
    503,
    _LATER,
    "The table service did not respond; nothing was written.",
)
TABLE_ANSWER_LOST = _define(
    5002,
    "table_answer_lost",
    504,
    _ASK_FIRST,
    "The table's response was lost; the write may have taken effect.",
    Outcome.UNKNOWN,
)
TABLE_CONFLICT = _define(
    5003, "table_conflict", 409, _LATER, "A row changed since it was read."
)
TABLE_THROTTLED = _define(
    5004, "table_throttled", 429, _LATER, "The table's rate limit was reached."
)
OBJECTS_UNAVAILABLE = _define(
    5005,
    "objects_unavailable",
    503,
    _LATER,
    "The object store did not respond.",
)
INSTANCES_UNAVAILABLE = _define(
    5006,
    "instances_unavailable",
    503,
    _LATER,
    "The instance list did not respond.",
)
LEASE_LOST = _define(
    5007, "lease_lost", 409, _LATER, "The lease expired or has another holder."
)
PEER_UNAVAILABLE = _define(
    5008, "peer_unavailable", 503, _LATER, "A peer did not respond."
)
PEER_BAD_MESSAGE = _define(
    5009, "peer_bad_message", 400, Retry.NO, "A peer's message is malformed."
)

BAD_CONFIGURATION = _define(
    5010,
    "bad_configuration",
    500,
    _AFTER_CHANGE,
    "The operator's configuration can't be read; the last one stays in force.",
)
TABLE_HISTORY_LOST = _define(
    5011,
    "table_history_lost",
    410,
    _LATER,
    "The table no longer has the requested changes; read it in full.",
)
REPLICA_TOO_WIDE = _define(
    5012,
    "replica_too_wide",
    503,
    _LATER,
    "No fabric domain has as many engines as a replica of the model spans.",
)

COMMAND_UNREACHABLE = _define(
    6001, "command_unreachable", 503, _LATER, "No entry instance responded."
)
COMMAND_TIMEOUT = _define(
    6002,
    "command_timeout",
    504,
    _LATER,
    "The awaited state was not reached in time.",
)
COMMAND_BAD_ARGUMENT = _define(
    6003, "command_bad_argument", 400, _AFTER_CHANGE, "An argument is invalid."
)
INVARIANT_BROKEN = _define(
    9001,
    "invariant_broken",
    500,
    Retry.NO,
    "An invariant was violated; the log names it.",
    Outcome.UNKNOWN,
)
