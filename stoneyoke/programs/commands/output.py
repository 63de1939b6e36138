"""What a command prints: lines for people, or one JSON value for programs."""

import json
from collections.abc import Sequence
from typing import Any

from absl import flags

AS_JSON = flags.DEFINE_bool("json", False, "Print one JSON value in place of lines.")


def print_result(lines: Sequence[str], result: Any) -> None:
    """Prints a command's result.

    Args:
        lines: For people.
        result: The same for programs: a value that JSON can hold, printed with `--json`.
    """
    print(json.dumps(result, indent=1) if AS_JSON.value else "\n".join(lines))
