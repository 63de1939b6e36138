"""Buffers log lines in memory, and writes them to standard error after an error or on request."""

import sys
from collections import deque
from typing import Any

from loguru import logger

BUFFERED_LINES = 200
LINES_BEFORE_ERROR = 40
WARNING_LEVEL, ERROR_LEVEL = 30, 40  # loguru's numbers


class LogBuffer:
    """Buffers the latest log lines. An error writes the preceding ones to standard error too, a warning only itself."""

    def __init__(self) -> None:
        """Starts empty."""
        self.lines: deque[str] = deque(maxlen=BUFFERED_LINES)

    def sink(self, message: Any) -> None:
        """Receives a line from loguru. An error writes up to LINES_BEFORE_ERROR lines, a warning only its own."""
        self.lines.append(str(message))
        if message.record["level"].no >= ERROR_LEVEL:
            self.dump(LINES_BEFORE_ERROR)
        elif message.record["level"].no >= WARNING_LEVEL:
            sys.stderr.write(self.lines.pop())

    def dump(self, lines_max: int = BUFFERED_LINES) -> None:
        """Writes the latest lines to standard error and clears the buffer."""
        sys.stderr.write("".join(list(self.lines)[-lines_max:]))
        self.lines.clear()


def configure_logging() -> LogBuffer:
    """Configures loguru to log to a buffer, and returns the buffer."""
    log_buffer = LogBuffer()
    logger.remove()
    logger.add(
        log_buffer.sink, format="{time:HH:mm:ss.SSS} {level} {message}", level="DEBUG", backtrace=False, diagnose=False
    )
    return log_buffer
