"""Causes that are read off logs."""

import json
import pathlib

from click import testing

from tamarackpier.cli import main


def _line(time, message, instance="front-1", **fields):
    return json.dumps(
        {"time": time, "instance": instance, "message": message, **fields}
    )


def _run(tmp, lines, *arguments):
    (tmp / "a.log").write_text("\n".join(lines) + "\n")
    return testing.CliRunner().invoke(
        main.main, ["explain", *arguments, str(tmp / "a.log")]
    )


def _with_logs(check):
    runner = testing.CliRunner()
    with runner.isolated_filesystem() as folder:
        check(pathlib.Path(folder))


STREAM = [
    "  12.0 front-1 " + _line(10.0, "sent", request="q1", replica="r1"),
    _line(10.5, "replica suspended", replica="r1", reason="e2 is silent"),
    _line(10.5, "repeat", request="q1", reason="moved"),
    _line(10.5, "sent", request="q1", replica="r2"),
    _line(
        11.0,
        "not answered",
        request="q1",
        code=4005,
        name="stream_incomplete",
        detail="e9: cut_off",
    ),
    _line(10.6, "answered", request="q10", status=200),
    "no line of ours about q1",
]


def test_a_broken_stream_is_traced_to_its_replica():
    def check(folder):
        found = _run(folder, STREAM, "q1")
        assert found.exit_code == 0
        cause = found.output.splitlines()[-1]
        assert "4005 stream_incomplete" in cause
        assert "repeated before for: moved" in cause
        assert "e2 is silent" in cause
        assert "q10" not in found.output

    _with_logs(check)


def test_engine_s_own_failures_and_callers_that_left_are_told_apart():
    def check(folder):
        lines = [
            _line(1.0, "sent", request="q1", engine="e1"),
            _line(1.1, "answered", request="q1", status=500, took_s=0.1),
        ]
        assert "e1 itself answered 500" in _run(folder, lines, "q1").output
        lines[1] = _line(1.1, "caller gone", request="q1", after_s=0.1)
        found = _run(folder, lines, "q1").output
        assert "the caller left after 0.1 s, 0.10 s after an attempt" in found
        assert "process ended" in _run(folder, lines[:1], "q1").output

    _with_logs(check)


def test_an_unknown_request_ends_with_a_status():
    def check(folder):
        found = _run(folder, STREAM, "q99")
        assert found.exit_code == 3
        assert "no line names it" in found.output

    _with_logs(check)


def test_a_replica_s_end_is_explained():
    def check(folder):
        lines = [
            _line(1.0, "order", replica="r1", kind="open", reason="all ready"),
            _line(5.0, "replica suspended", replica="r1", reason="e2 silent"),
            _line(5.1, "order", replica="r1", kind="leave", reason="x"),
        ]
        found = _run(folder, lines, "--replica", "r1")
        assert "told to open at 1.000" in found.output
        assert "ended at 5.000: e2 silent" in found.output

    _with_logs(check)
