"""Tables of settings, and a reader that validates a parsed object and reports the first invalid field."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.checks import Check
from stoneyoke.api.errors import InvalidField

REQUIRED = object()  # the default of a setting that must be given
MAX_INT_AS_FLOAT = 1e300  # an integer this large is rejected for a float, to which it may not be convertible
EXCERPT_LENGTH = 40


@dataclass(frozen=True, slots=True)
class Setting:
    """The schema of one setting.

    Attributes:
        name: Name of the field in the object.
        kind: str, int, float, bool, dict, a Table for a nested object, or a list that contains one of these. For a
            float, integers are accepted too. A bool is not accepted as a number, nor is an infinite number or NaN.
        default: The value if the field is missing or null; REQUIRED if the field must be given.
        check: Applied to a value of the right type.
    """

    name: str
    kind: Any
    default: Any = REQUIRED
    check: Check | None = None


Table = tuple[Setting, ...]


def read_table(given: Any, table: Table, path: str = "") -> dict[str, Any]:
    """Reads the settings of a table from an object, with defaults filled in. Fields not in the table are ignored.

    Args:
        given: The parsed object.
        table: The schema of the settings.
        path: The path of the object, for error messages; empty for the outermost object.

    Raises:
        InvalidField: A required setting is missing, or a value is of the wrong type or fails its check.
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
    """Converts a value to a setting's kind.

    Raises:
        InvalidField: The value is of the wrong type; the error names the field.
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
    """Whether a number is finite and not a bool."""
    return not isinstance(value, bool) and math.isfinite(value)


def excerpt(value: Any) -> str:
    """Formats a value for an error message, truncated to EXCERPT_LENGTH characters."""
    text = repr(value) if not isinstance(value, dict | list) else type(value).__name__
    return text if len(text) <= EXCERPT_LENGTH else text[: EXCERPT_LENGTH - 3] + "..."
