"""Runs every scenario in tests/scenarios on a virtual clock."""

import pathlib

import lark
from absl import logging
from nose2.tools import params

from tamarackpier.standin import scenario

FOLDER = pathlib.Path(__file__).parent / "scenarios"
NAMES = sorted(path.stem for path in FOLDER.glob("*.scn"))


@params(*NAMES)
def test_scenario(name):
    logging.set_verbosity("fatal")
    scenario.run(scenario.parse((FOLDER / f"{name}.scn").read_text()))


def test_scenario_whose_expectation_does_not_hold_fails():
    text = 'scenario "x"\nat 4 submit 2 of 4\nat 5 expect serving 2\n'
    try:
        scenario.run(scenario.parse(text))
    except scenario.ScenarioError as error:
        assert "expected serving 2" in str(error)
    else:
        raise AssertionError("the scenario passed")


def test_syntax_error_in_a_scenario_states_its_line():
    try:
        scenario.parse('scenario "x"\nat 4 dance\n')
    except lark.exceptions.UnexpectedInput as error:
        assert error.line == 2
    else:
        raise AssertionError("the scenario was parsed")
