"""Tests of the result code registry and of its table in the docs."""

import pathlib

from tamarackpier import codes
from tests import render_codes

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_table_in_docs_matches_the_registry():
    page = (DOCS / "RESULT_CODES.md").read_text()
    assert render_codes.table() in page


def test_names_are_unique_and_classes_give_exit_statuses():
    result_codes = list(codes.all_codes())
    assert len({code.name for code in result_codes}) == len(result_codes)
    assert all(1 <= code.exit_status <= 9 for code in result_codes)


def test_unknown_outcome_never_allows_a_blind_retry():
    for code in codes.all_codes():
        if code.outcome is codes.Outcome.UNKNOWN:
            assert code.retry is not codes.Retry.LATER, code
