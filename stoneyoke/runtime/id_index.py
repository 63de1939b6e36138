"""Gives each foreign id a small index, and takes indices back for the next. Decides nothing."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Name = TypeVar("Name", bound=Hashable)


class IdIndex(Generic[Name]):
    """Holds an entry for each id inside; leave() empties it."""

    def __init__(self) -> None:
        self.index_by_id: dict[Name, int] = {}
        self.id_by_index: list[Name] = []
        self.free: list[int] = []

    def acquire(self, name: Name) -> int:
        at = self.index_by_id.get(name)
        if at is None:
            if self.free:
                at = self.free.pop()
                self.id_by_index[at] = name
            else:
                at = len(self.id_by_index)
                self.id_by_index.append(name)
            self.index_by_id[name] = at
        return at

    def release(self, at: int) -> None:
        if self.index_by_id.pop(self.id_by_index[at], None) is not None:
            self.free.append(at)
