"""Reads KNOWN-RED.txt: the tests that fail for a known fault and that CI passes over.

One line for each test, `test id: command and seed: what was seen: issue`. Only the test id may contain ": ". It is a
pytest node id, or the description of a ward test. Blank lines and lines that begin with # are ignored. Run as a program
this module prints the entries, and exits with 1 if the file is invalid. The plug-ins `known_red_pytest` and
`known_red_ward` mark the tests.
"""

import os
import sys
from pathlib import Path
from typing import NamedTuple

SEPARATOR = ": "
FIELDS = 4
PYTEST_SEPARATOR = "::"
FILE_VARIABLE = "KNOWN_RED_FILE"
DEFAULT_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


class UnusableList(Exception):
    """KNOWN-RED.txt has a line that can't be parsed, lists a test twice, or names a test that does not exist."""


class KnownRed(NamedTuple):
    """A test that fails for a known fault."""

    test: str
    command: str  # with the seed, so that the failure can be reproduced
    seen: str
    issue: str

    @property
    def is_pytest(self) -> bool:
        """True for a pytest node id, false for the description of a ward test."""
        return PYTEST_SEPARATOR in self.test


def parse(text: str) -> list[KnownRed]:
    """The entries of a list's text. Raises UnusableList."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [parse_line(line) for line in lines if line and not line.startswith("#")]
    if len({entry.test for entry in entries}) < len(entries):
        raise UnusableList("a test is listed twice")
    return entries


def parse_line(line: str) -> KnownRed:
    """One entry. A ward description may contain the separator, so the line is split from its end."""
    parts = [part.strip() for part in line.rsplit(SEPARATOR, FIELDS - 1)]
    if len(parts) != FIELDS or not all(parts):
        raise UnusableList(f"not `test id: command and seed: what was seen: issue`: {line}")
    return KnownRed(*parts)


def read_list() -> list[KnownRed]:
    """The entries of the file that the environment names, or of KNOWN-RED.txt. No file holds no entries."""
    path = Path(os.environ.get(FILE_VARIABLE) or DEFAULT_FILE)
    return parse(path.read_text()) if path.exists() else []


def check_named(entries: list[KnownRed], tests: set[str]) -> None:
    """Raises UnusableList where an entry names none of a runner's tests."""
    unknown = [entry.test for entry in entries if entry.test not in tests]
    if unknown:
        raise UnusableList("no such test: " + ", ".join(unknown))


def main() -> int:
    """Prints the entries, as CI does before it runs the tests."""
    try:
        entries = read_list()
    except UnusableList as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    print(f"known red: {len(entries)}")
    for entry in entries:
        print(f"  {entry.test}\n    command: {entry.command}; seen: {entry.seen}; issue: {entry.issue}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
