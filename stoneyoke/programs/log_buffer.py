"""Log lines, buffered in memory and written to standard error when something goes wrong."""

import sys
from collections import deque
from typing import Any

from loguru import logger

BUFFERED_LINES = 200
LINES_BEFORE_ERROR = 40
WARNING_LEVEL, ERROR_LEVEL = 30, 40  # loguru's numbers


class LogBuffer:
    """Keeps the last lines; a warning or worse writes out those that led to it."""

    def __init__(self) -> None:
        """Starts empty."""
        self.lines: deque[str] = deque(maxlen=BUFFERED_LINES)

    def sink(self, message: Any) -> None:
        """Takes a line from loguru: an error writes the lines before it too, a warning only itself."""
        self.lines.append(str(message))
        if message.record["level"].no >= ERROR_LEVEL:
            self.dump(LINES_BEFORE_ERROR)
        elif message.record["level"].no >= WARNING_LEVEL:
            sys.stderr.write(self.lines.pop())

    def dump(self, lines_max: int = BUFFERED_LINES) -> None:
        """Writes the newest lines out and empties the buffer."""
        sys.stderr.write("".join(list(self.lines)[-lines_max:]))
        self.lines.clear()


def set_up() -> LogBuffer:
    """Sends log lines to standard error and into a buffer of the latest."""
    log_buffer = LogBuffer()
    logger.remove()
    logger.add(
        log_buffer.sink, format="{time:HH:mm:ss.SSS} {level} {message}", level="DEBUG", backtrace=False, diagnose=False
    )
    return log_buffer
