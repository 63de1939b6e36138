"""Tables of settings, and a reader that checks a parsed object against one and names the first field that is wrong."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.checks import Check
from stoneyoke.api.errors import InvalidField

REQUIRED = object()  # in place of a default
MAX_INT_AS_FLOAT = 1e300  # a larger whole number is not turned into a float
EXCERPT_LENGTH = 40


@dataclass(frozen=True, slots=True)
class Setting:
    """A setting: its name, its type, its default and the check of its value.

    Attributes:
        name: Name in the object.
        kind: str, int, float, bool, dict, a Table for a nested object, or a list that holds one of these. A float also
            takes whole numbers, a bool is no number, and no number is infinite.
        default: Value where it is missing or null; REQUIRED if it must not be.
        check: Applied to a value of the right type.
    """

    name: str
    kind: Any
    default: Any = REQUIRED
    check: Check | None = None


Table = tuple[Setting, ...]


def read_table(given: Any, table: Table, path: str = "") -> dict[str, Any]:
    """The settings of a table out of an object, with defaults filled in. Fields that the table lacks are left out.

    Args:
        given: The object.
        table: The settings.
        path: Where the object lies, for the error; empty for the whole.

    Raises:
        InvalidField: A setting is missing, or its value is of another type or fails its check.
    """
    if not isinstance(given, Mapping):
        raise InvalidField(path or "the whole", f"is no object but {excerpt(given)}")
    found = {}
    for setting in table:
        field = f"{path}.{setting.name}" if path else setting.name
        value = given.get(setting.name)
        if value is None:
            if setting.default is REQUIRED:
                raise InvalidField(field, "is missing")
            found[setting.name] = setting.default
            continue
        value = read_value(value, setting.kind, field)
        if setting.check and (reason := setting.check(value)):
            raise InvalidField(field, reason)
        found[setting.name] = value
    return found


def read_value(value: Any, kind: Any, field: str) -> Any:
    """A value as a setting's kind wants it.

    Raises:
        InvalidField: It is of another type; the error names `field`.
    """
    if isinstance(kind, tuple):
        return read_table(value, kind, field)
    if isinstance(kind, list):
        if not isinstance(value, list):
            raise InvalidField(field, f"is no list but {excerpt(value)}")
        return [read_value(item, kind[0], f"{field}[{at}]") for at, item in enumerate(value)]
    if kind is float and isinstance(value, int) and not isinstance(value, bool) and abs(value) < MAX_INT_AS_FLOAT:
        value = float(value)
    if not isinstance(value, kind) or kind in (int, float) and not is_finite_number(value):
        raise InvalidField(field, f"is no {kind.__name__} but {excerpt(value)}")
    return value


def is_finite_number(value: Any) -> bool:
    """Whether a number is finite and no bool."""
    return not isinstance(value, bool) and math.isfinite(value)


def excerpt(value: Any) -> str:
    """A value as it stands in an error's text, cut to EXCERPT_LENGTH characters."""
    text = repr(value) if not isinstance(value, dict | list) else type(value).__name__
    return text if len(text) <= EXCERPT_LENGTH else text[: EXCERPT_LENGTH - 3] + "..."
