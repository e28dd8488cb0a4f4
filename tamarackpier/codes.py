"""The numbered result codes: one registry for every process.

The thousands digit is the class; a command line exits with it, so that a
script can tell bad settings from a full queue without reading text.
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
    """What became of a request, as far as it is known."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    FAILED_AFTER_RUNNING = "failed_after_running"
    UNKNOWN = "unknown"
    INCOMPLETE_STREAM = "incomplete_stream"


class Retry(enum.Enum):
    """Whether the same request may be sent again."""

    NO = "no"
    AFTER_CHANGE = "after_change"
    LATER = "later"
    ASK_FIRST = "ask_first"


@dataclasses.dataclass(frozen=True)
class ResultCode:
    """One kind of refusal or failure.

    Attributes:
        number: Unique; its thousands digit is the class.
        name: A word for counters and logs.
        outcome: What became of the request.
        status: HTTP status that carries it.
        retry: Whether to send the request again.
        meaning: One sentence for the table in the docs.
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
    """A result code with what is particular to one case.

    Attributes:
        code: The result code.
        detail: What was found and what was expected.
        where: File, section, row, column or peer; empty when there is none.
        retry_after_s: When to come back; None where coming back is no use.
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
    """Returns a fault; a short hand for the constructor."""
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
    """Yields every result code by rising number."""
    for number in sorted(_BY_NUMBER):
        yield _BY_NUMBER[number]


def by_number(number: int) -> ResultCode | None:
    """Returns the code of that number, or None."""
    return _BY_NUMBER.get(number)


_FIX = Retry.AFTER_CHANGE
_LATER = Retry.LATER
_ASK = Retry.ASK_FIRST

SETTINGS_UNREADABLE = _define(
    1001, "settings_unreadable", 500, _FIX, "The settings file can't be read."
)
SETTINGS_UNKNOWN_SECTION = _define(
    1002, "settings_unknown_section", 500, _FIX, "No such section exists."
)
SETTINGS_UNKNOWN_KEY = _define(
    1003, "settings_unknown_key", 500, _FIX, "The section has no such key."
)
SETTINGS_BAD_VALUE = _define(
    1004,
    "settings_bad_value",
    500,
    _FIX,
    "A value has the wrong type or range.",
)
SETTINGS_MISSING_KEY = _define(
    1005, "settings_missing_key", 500, _FIX, "A key that is needed is absent."
)
SETTINGS_SYNTAX = _define(
    1006, "settings_syntax", 500, _FIX, "The file is not well-formed INI."
)

SHEET_NOT_TEXT = _define(
    2001, "sheet_not_text", 400, _FIX, "The sheet is not UTF-8 text."
)
SHEET_EMPTY = _define(2002, "sheet_empty", 400, _FIX, "The sheet has no rows.")
SHEET_MISSING_COLUMN = _define(
    2003, "sheet_missing_column", 400, _FIX, "A needed column is absent."
)
SHEET_UNKNOWN_COLUMN = _define(
    2004, "sheet_unknown_column", 400, _FIX, "A column is not known."
)
SHEET_BAD_VALUE = _define(
    2005, "sheet_bad_value", 400, _FIX, "A cell has the wrong form or range."
)
SHEET_DUPLICATE_ROW = _define(
    2006,
    "sheet_duplicate_row",
    400,
    _FIX,
    "Two rows name the same event, model and account.",
)
SHEET_INCONSISTENT_EVENT = _define(
    2007,
    "sheet_inconsistent_event",
    400,
    _FIX,
    "Rows of one event disagree on its times, or of one model on its size.",
)
SHEET_BAD_TIME = _define(
    2008,
    "sheet_bad_time",
    400,
    _FIX,
    "A start time does not exist, is ambiguous, or its time zone is unknown.",
)
SHEET_UNKNOWN_ACCOUNT = _define(
    2009,
    "sheet_unknown_account",
    400,
    _FIX,
    "No such client account is set up.",
)
SHEET_TOO_LARGE = _define(
    2010, "sheet_too_large", 413, _FIX, "The sheet has too many bytes or rows."
)
SHEET_CONFLICT = _define(
    2011,
    "sheet_conflict",
    409,
    _FIX,
    "Another change was accepted first; the detail names it.",
)
SHEET_NOT_SETTLED = _define(
    2012,
    "sheet_not_settled",
    504,
    _ASK,
    "The answer to the write was lost and a read could not settle it yet.",
    Outcome.UNKNOWN,
)
SHEET_UNKNOWN_ROW = _define(
    2013,
    "sheet_unknown_row",
    400,
    _FIX,
    "A change removes a row that is absent.",
)
SHEET_RAGGED_ROW = _define(
    2014, "sheet_ragged_row", 400, _FIX, "A row has more or fewer cells."
)

NO_KEY = _define(
    3001, "no_key", 401, _FIX, "The request carries no key in Authorization."
)
UNKNOWN_KEY = _define(3002, "unknown_key", 401, _FIX, "The key is not known.")
NOT_ALLOWED = _define(
    3003, "not_allowed", 403, _FIX, "The key does not open this endpoint."
)
BAD_BODY = _define(
    3004, "bad_body", 400, _FIX, "The body is not what the endpoint expects."
)
BODY_TOO_LARGE = _define(
    3005, "body_too_large", 413, _FIX, "The body exceeds the limit."
)
NO_SUCH_PATH = _define(
    3006, "no_such_path", 404, _FIX, "The endpoint does not exist."
)
NO_SUCH_MODEL = _define(
    3007, "no_such_model", 404, _FIX, "No event in force serves this model."
)
NO_SUCH_SERVICE = _define(
    3008, "no_such_service", 404, _FIX, "No plain service has this name."
)
BODY_TIMEOUT = _define(
    3009, "body_timeout", 408, _LATER, "The body did not arrive in time."
)
NO_ROUTE = _define(
    3010, "no_route", 404, _FIX, "No route in force has this host and path."
)
HEAD_TOO_LARGE = _define(
    3011, "head_too_large", 431, _FIX, "The request's head exceeds the limit."
)
ACCOUNT_OVER_SHARE = _define(
    3101, "account_over_share", 429, _LATER, "The account's share is used up."
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
    3104, "no_replica", 503, _LATER, "No whole replica of the model is serving."
)
LEAVING = _define(
    3105,
    "leaving",
    503,
    _LATER,
    "This entry instance is leaving; ask for another address.",
)
NOT_CONFIGURED = _define(
    3111,
    "not_configured",
    503,
    _LATER,
    "This entry instance knows no configuration yet.",
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
QUARANTINED = _define(
    3106,
    "quarantined",
    422,
    _FIX,
    "Such requests crashed upstreams; they are not run again for a while.",
)
NO_SUCH_REQUEST = _define(
    3107, "no_such_request", 404, _FIX, "No record of the request is kept."
)
KEY_REUSED = _define(
    3108,
    "key_reused",
    422,
    _FIX,
    "The idempotency key was used before with a different request.",
)
IN_FLIGHT = _define(
    3109,
    "in_flight",
    409,
    _ASK,
    "The same request is still running; ask for its outcome.",
    Outcome.UNKNOWN,
)
RECORD_UNAVAILABLE = _define(
    3110,
    "record_unavailable",
    503,
    _LATER,
    "The record that keeps the call from running twice can't be written now.",
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
    _ASK,
    "The upstream may have run the request; ask by its identifier.",
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
    "The answer broke off and could not be resumed.",
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
    "The upstream sent something that is not its protocol.",
    Outcome.FAILED_AFTER_RUNNING,
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
    "The table service did not answer; nothing was written.",
)
TABLE_ANSWER_LOST = _define(
    5002,
    "table_answer_lost",
    504,
    _ASK,
    "The table's answer was lost; the write may have taken effect.",
    Outcome.UNKNOWN,
)
TABLE_CONFLICT = _define(
    5003, "table_conflict", 409, _LATER, "A row changed since it was read."
)
TABLE_THROTTLED = _define(
    5004, "table_throttled", 429, _LATER, "The table's rate limit was reached."
)
OBJECTS_UNAVAILABLE = _define(
    5005, "objects_unavailable", 503, _LATER, "The object store gave no answer."
)
INSTANCES_UNAVAILABLE = _define(
    5006,
    "instances_unavailable",
    503,
    _LATER,
    "The instance list gave no answer.",
)
LEASE_LOST = _define(
    5007, "lease_lost", 409, _LATER, "The lease lapsed or another holds it."
)
PEER_UNAVAILABLE = _define(
    5008, "peer_unavailable", 503, _LATER, "A peer gave no answer."
)
PEER_BAD_MESSAGE = _define(
    5009, "peer_bad_message", 400, Retry.NO, "A peer's message is malformed."
)

BAD_CONFIGURATION = _define(
    5010,
    "bad_configuration",
    500,
    _FIX,
    "The operator's configuration can't be read; the last one stays.",
)
TABLE_HISTORY_LOST = _define(
    5011,
    "table_history_lost",
    410,
    _LATER,
    "The table no longer has the changes asked for; read it anew.",
)

COMMAND_UNREACHABLE = _define(
    6001, "command_unreachable", 503, _LATER, "No entry instance answered."
)
COMMAND_TIMEOUT = _define(
    6002, "command_timeout", 504, _LATER, "The state waited for did not come."
)
COMMAND_BAD_ARGUMENT = _define(
    6003, "command_bad_argument", 400, _FIX, "An argument is not usable."
)
INVARIANT_BROKEN = _define(
    9001,
    "invariant_broken",
    500,
    Retry.NO,
    "Something that must always hold did not; the log says what.",
    Outcome.UNKNOWN,
)
