"""Maps identifiers that other systems choose to small indices."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Id = TypeVar("Id", bound=Hashable)


class IdIndex(Generic[Id]):
    """Assigns an index to each identifier for as long as the identifier is in use.

    The decision logic stores its rows by index. A released index is assigned to the next new identifier, so there are
    never more rows than identifiers that were in use at the same time.

    Attributes:
        index_by_id: The index of each identifier in use.
        id_by_index: The identifier of each index; for a released index, the last identifier that had it.
        free_indices: The released indices; the last one is assigned next.
    """

    def __init__(self) -> None:
        """Starts with no identifier in use."""
        self.index_by_id: dict[Id, int] = {}
        self.id_by_index: list[Id] = []
        self.free_indices: list[int] = []

    def acquire(self, identifier: Id) -> int:
        """Returns the index of an identifier; assigns one if the identifier is not in use."""
        index = self.index_by_id.get(identifier)
        if index is None:
            if self.free_indices:
                index = self.free_indices.pop()
                self.id_by_index[index] = identifier
            else:
                index = len(self.id_by_index)
                self.id_by_index.append(identifier)
            self.index_by_id[identifier] = index
        return index

    def release(self, index: int) -> None:
        """Releases an index, and ends the use of its identifier. A second release has no effect."""
        if self.index_by_id.pop(self.id_by_index[index], None) is not None:
            self.free_indices.append(index)
