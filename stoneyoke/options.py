"""The gateway's own options, which the platform's configuration lacks: a typed TOML file, all off by default.

Read only where a file is named; a platform that names none needs no library for it.
"""

from pathlib import Path
from typing import Literal

import msgspec

from stoneyoke.startup import BadStart


class Log(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    form: Literal["plain", "json"] = "plain"  # json: a JSON object a line


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    log: Log = Log()


def read(path: Path) -> Options:
    """Raises BadStart naming file, key and reason."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Options)
    except OSError as bad:
        raise BadStart(f"options: {path} can't be read: {bad.strerror}") from bad
    except msgspec.ValidationError as bad:
        reason, _, where = str(bad).partition(" - at `$")
        raise BadStart(f"options: {path}: {where.rstrip('`').lstrip('.') or 'top'}: {reason}") from bad
    except msgspec.DecodeError as bad:
        raise BadStart(f"options: {path}: no TOML: {bad}") from bad
