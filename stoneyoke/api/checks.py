"""Checks of single values. A check returns the reason why a value is invalid, or an empty text for a valid value."""

import re
from collections.abc import Callable
from typing import Any

Check = Callable[[Any], str]

PORTS = range(1, 65_536)
MAX_NUMBER = 1e12

match_address = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})").fullmatch
match_visible_text = re.compile(r"[!-~]{1,4096}").fullmatch
match_version = re.compile(r"r([0-9]{1,15})").fullmatch


def at_least(low: float, high: float = MAX_NUMBER) -> Check:
    """Returns a check that a number is at least `low` and at most `high`."""
    return lambda value: "" if low <= value <= high else f"{value!r} is not from {low:g} to {high:g}"


def above(low: float, high: float = MAX_NUMBER) -> Check:
    """Returns a check that a number is greater than `low` and at most `high`."""
    return lambda value: "" if low < value <= high else f"{value!r} is not over {low:g} up to {high:g}"


def one_of(*words: str) -> Check:
    """Returns a check that a text is one of these words."""
    return lambda value: "" if value in words else f"{value!r} is none of {', '.join(words)}"


def not_empty(value: Any) -> str:
    """Checks that a text or a list is not empty."""
    return "" if value else "is empty"


def address_error(value: str) -> str:
    """Checks an IPv4 address with a port."""
    match = match_address(value)
    fits = match and int(match[2]) in PORTS and all(int(part) < 256 for part in match[1].split("."))
    return "" if fits else f"{value[:40]!r} is no IPv4 address with a port"


def visible_text_error(value: str) -> str:
    """Checks that a text consists of 1 to 4096 visible ASCII characters."""
    return "" if match_visible_text(value) else "is not made of visible ASCII characters"


def path_prefix_error(value: str) -> str:
    """Checks a path prefix, which must begin and end with a slash."""
    fits = match_visible_text(value) and value[0] == value[-1] == "/"
    return "" if fits else "does not begin and end with a slash"


def version_error(value: str) -> str:
    """Checks a configuration's version, which is the letter r and a number."""
    return "" if match_version(value) else f"{value[:40]!r} is not r and a number"
