"""Patches of the code under test, which seed defects."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple


class Patch(NamedTuple):
    """An attribute of a module or a class, and its replacement."""

    target: Any
    attribute: str
    replacement: Any


Defect = Callable[[], list[Patch]]


def by_name(*defects: Defect) -> dict[str, Defect]:
    """Returns defects by the names of their functions."""
    return {defect.__name__: defect for defect in defects}


@contextlib.contextmanager
def applied(patches: list[Patch]) -> Iterator[None]:
    """Applies patches, and restores the original attributes in reverse order at the end."""
    originals = [Patch(target, attribute, getattr(target, attribute)) for target, attribute, _ in patches]
    for patch in patches:
        setattr(patch.target, patch.attribute, patch.replacement)
    try:
        yield
    finally:
        for original in reversed(originals):
            setattr(original.target, original.attribute, original.replacement)
