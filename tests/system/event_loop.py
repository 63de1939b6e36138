"""Runs a test's coroutine on a new event loop."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any


def on_loop(test_coroutine: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Converts a coroutine function to a plain test function with the same parameters."""

    @functools.wraps(test_coroutine)
    def run(**parameters: Any) -> None:
        asyncio.run(test_coroutine(**parameters))

    return run
