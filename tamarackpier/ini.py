"""Reads INI files into frozen dataclasses and reports all faults at once.

The type of a field determines how its text is converted, and the field's
metadata constrains the value. Each fault names the file, section and key.
"""

import configparser
import dataclasses
import pathlib
import re
import typing
from collections.abc import Callable, Iterable
from typing import Any

from returns import result

from tamarackpier import codes

__all__ = ["ADDRESS", "NAME", "Reader", "key", "parse", "read_text"]

# Pattern of an identifier, such as the name of an instance or account.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
# Pattern of an IPv4 address or a bracketed IPv6 address, with a port.
ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}|\[[0-9a-fA-F:]+\]:[0-9]{1,5}")
_REQUIRED: Any = dataclasses.MISSING
Faults = tuple[codes.Fault, ...]


def key(
    default: Any = _REQUIRED,
    low: float | None = None,
    high: float | None = None,
    pattern: re.Pattern[str] | None = None,
    one_of: tuple[str, ...] = (),
    may_be_empty: bool = False,
) -> Any:
    """Returns a dataclass field whose metadata constrains its value.

    Args:
        default: Value of an absent key; without it the key is required.
        low: Lowest allowed value; `high` must be given with it.
        high: Highest allowed value.
        pattern: Pattern that the whole value must match.
        one_of: Allowed values; empty to allow any.
        may_be_empty: Whether a list may have no entries.
    """
    metadata = {
        "low": low,
        "high": high,
        "pattern": pattern,
        "one_of": one_of,
        "may_be_empty": may_be_empty,
    }
    return dataclasses.field(default=default, metadata=metadata)


# Functions that convert the text of a value, by the type of its field.
_CONVERTERS: dict[Any, Callable[[str], Any]] = {
    int: int,
    float: float,
    str: str,
    tuple[str, ...]: lambda text: tuple(
        entry.strip() for entry in text.split(",") if entry.strip()
    ),
}


def read_text(path: pathlib.Path) -> result.Result[str, Faults]:
    """Returns the text of a UTF-8 file, or a fault if it can't be read."""
    try:
        return result.Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fault = codes.fault(codes.SETTINGS_UNREADABLE, str(error), str(path))
        return result.Failure((fault,))


def parse(text: str, source: str) -> result.Result["Reader", Faults]:
    """Returns a reader for an INI text, or a fault if it is malformed.

    Args:
        text: The INI text.
        source: Name of the text in faults, such as its path.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        detail = " ".join(str(error).split())
        fault = codes.fault(codes.SETTINGS_SYNTAX, detail, source)
        return result.Failure((fault,))
    return result.Success(Reader(parser, source))


class Reader:
    """Converts the sections of one file and collects the faults.

    Attributes:
        parser: Parser that holds the file's contents.
        source: Name of the text in faults, such as its path.
        faults: Faults collected so far.
    """

    def __init__(self, parser: configparser.ConfigParser, source: str) -> None:
        self.parser = parser
        self.source = source
        self.faults: list[codes.Fault] = []

    def check_sections(
        self, is_known: Callable[[str], bool], known: Iterable[str]
    ) -> None:
        """Records a fault for each unknown section.

        Args:
            is_known: Returns whether a section with a name is known.
            known: Names or patterns of the known sections, for the fault.
        """
        for section in self.parser.sections():
            if not is_known(section):
                self.add_fault(
                    codes.SETTINGS_UNKNOWN_SECTION,
                    f"known sections are {', '.join(known)}",
                    section,
                )

    def section(self, section: str, section_type: type) -> Any:
        """Returns a section as an object of a dataclass.

        Records a fault for each unknown key, absent required key and invalid
        value. A required value that is absent and a value that can't be
        converted are None.

        Args:
            section: Name of the section.
            section_type: The dataclass, whose fields `key` has created.
        """
        texts = (
            dict(self.parser.items(section))
            if self.parser.has_section(section)
            else {}
        )
        fields = {
            field.name: field for field in dataclasses.fields(section_type)
        }
        for key_name in texts:
            if key_name not in fields:
                known_keys = ", ".join(fields)
                self.add_fault(
                    codes.SETTINGS_UNKNOWN_KEY,
                    f"known keys are {known_keys}",
                    section,
                    key_name,
                )
        types = typing.get_type_hints(section_type)
        values = {}
        for name, field in fields.items():
            if name in texts:
                values[name] = self._convert(
                    section, field, types[name], texts[name]
                )
            elif field.default is dataclasses.MISSING:
                self.add_fault(
                    codes.SETTINGS_MISSING_KEY,
                    "the key is required",
                    section,
                    name,
                )
                values[name] = None
        return section_type(**values)

    def _convert(
        self,
        section: str,
        field: dataclasses.Field[Any],
        value_type: Any,
        text: str,
    ) -> Any:
        try:
            value = _CONVERTERS[value_type](text)
        except ValueError:
            expected = f"expected {value_type.__name__}, found {text!r}"
            self._record_bad_value(section, field, expected)
            return None
        problem = _violated_constraint(value, field.metadata)
        if problem:
            self._record_bad_value(section, field, f"{problem}, found {text!r}")
        return value

    def _record_bad_value(
        self, section: str, field: dataclasses.Field[Any], detail: str
    ) -> None:
        self.add_fault(codes.SETTINGS_BAD_VALUE, detail, section, field.name)

    def add_fault(
        self, code: codes.ResultCode, detail: str, section: str, key: str = ""
    ) -> None:
        """Records a fault; `key` is empty for a fault of a whole section."""
        where = f"{self.source} [{section}] {key}".rstrip()
        self.faults.append(codes.fault(code, detail, where))


def _violated_constraint(value: Any, metadata: Any) -> str:
    low, high = metadata["low"], metadata["high"]
    if low is not None and not low <= value <= high:
        return f"expected {low} to {high}"
    if metadata["one_of"] and value not in metadata["one_of"]:
        return f"expected one of {', '.join(metadata['one_of'])}"
    pattern = metadata["pattern"]
    if pattern is not None and not pattern.fullmatch(value):
        return f"expected a value matching {pattern.pattern}"
    if value == () and not metadata["may_be_empty"]:
        return "expected at least one entry"
    return ""
