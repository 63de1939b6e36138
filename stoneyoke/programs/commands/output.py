"""The output of commands: lines for people, or one JSON value for programs."""

import json
from collections.abc import Sequence
from typing import Any

from absl import flags

AS_JSON = flags.DEFINE_bool("json", False, "Print one JSON value instead of lines.")


def print_result(lines: Sequence[str], result: Any) -> None:
    """Prints a command's result.

    Args:
        lines: The output for people.
        result: The same information as a JSON-serializable value, which is printed with `--json`.
    """
    print(json.dumps(result, indent=1) if AS_JSON.value else "\n".join(lines))
