"""Gives each foreign id a small index, and takes indices back for the next. Decides nothing."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Name = TypeVar("Name", bound=Hashable)


class IdIndex(Generic[Name]):
    """Holds an entry for each id inside; leave() empties it."""

    def __init__(self) -> None:
        self.index: dict[Name, int] = {}
        self.names: list[Name] = []
        self.free: list[int] = []

    def enter(self, name: Name) -> int:
        at = self.index.get(name)
        if at is None:
            if self.free:
                at = self.free.pop()
                self.names[at] = name
            else:
                at = len(self.names)
                self.names.append(name)
            self.index[name] = at
        return at

    def leave(self, at: int) -> None:
        if self.index.pop(self.names[at], None) is not None:
            self.free.append(at)
