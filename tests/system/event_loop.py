"""Runs a test's coroutine on an event loop of its own."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any


def on_loop(story: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Makes a plain test function of a coroutine function; its parameters stay those of the test."""

    @functools.wraps(story)
    def run(**parameters: Any) -> None:
        asyncio.run(story(**parameters))

    return run
