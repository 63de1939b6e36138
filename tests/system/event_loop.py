"""Runs a test's coroutine on a new event loop."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any


def on_loop(story: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Converts a coroutine function to a plain test function with the same parameters."""

    @functools.wraps(story)
    def run(**parameters: Any) -> None:
        asyncio.run(story(**parameters))

    return run
