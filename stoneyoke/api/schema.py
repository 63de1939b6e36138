"""Tables of settings: each with its type, its default and its check; a reader names the field that is unfit."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

NEEDED = object()  # in place of a default


class InvalidField(Exception):
    """A value that can't be taken; `path` names its field, `why` what is wrong with it."""

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path}: {why}")
        self.path, self.why = path, why


@dataclass(frozen=True, slots=True)
class Setting:
    """kind: str, int, float, bool, dict, a table for a nested object, or a list holding one of these.

    float takes whole numbers too; bool is no number; no number is infinite. `check` returns what is wrong, or ""."""

    name: str
    kind: Any
    default: Any = NEEDED
    check: Callable[[Any], str] | None = None


Table = tuple[Setting, ...]


def at_least(low: float, top: float = 1e12) -> Callable[[float], str]:
    """A check: the value is from low to top."""
    return lambda value: "" if low <= value <= top else f"{value!r} is not from {low:g} to {top:g}"


def above(low: float, top: float = 1e12) -> Callable[[float], str]:
    """A check: the value is over low, up to top."""
    return lambda value: "" if low < value <= top else f"{value!r} is not over {low:g} up to {top:g}"


def one_of(*words: str) -> Callable[[str], str]:
    """A check: the value is one of these words."""
    return lambda value: "" if value in words else f"{value!r} is none of {', '.join(words)}"


def filled(value: Any) -> str:
    """A check: the value is not empty."""
    return "" if value else "is empty"


def read(given: Any, table: Table, path: str = "") -> dict[str, Any]:
    """The table's fields out of an object, defaults filled in; what the table doesn't know is left out."""
    if not isinstance(given, Mapping):
        raise InvalidField(path or "the whole", f"is no object but {shown(given)}")
    found = {}
    for setting in table:
        where = f"{path}.{setting.name}" if path else setting.name
        value = given.get(setting.name)
        if value is None:
            if setting.default is NEEDED:
                raise InvalidField(where, "is missing")
            found[setting.name] = setting.default
            continue
        value = fit(value, setting.kind, where)
        if setting.check and (why := setting.check(value)):
            raise InvalidField(where, why)
        found[setting.name] = value
    return found


def fit(value: Any, kind: Any, where: str) -> Any:
    """A value as a setting's kind wants it. Raises InvalidField, which names where."""
    if isinstance(kind, tuple):
        return read(value, kind, where)
    if isinstance(kind, list):
        if not isinstance(value, list):
            raise InvalidField(where, f"is no list but {shown(value)}")
        return [fit(one, kind[0], f"{where}[{at}]") for at, one in enumerate(value)]
    if kind is float and isinstance(value, int) and not isinstance(value, bool) and abs(value) < 1e300:
        value = float(value)
    if not isinstance(value, kind) or kind in (int, float) and (isinstance(value, bool) or not math.isfinite(value)):
        raise InvalidField(where, f"is no {kind.__name__} but {shown(value)}")
    return value


def shown(value: Any) -> str:
    """A value as it stands in a message, cut to 40 characters."""
    text = repr(value) if not isinstance(value, dict | list) else type(value).__name__
    return text if len(text) <= 40 else text[:37] + "..."
