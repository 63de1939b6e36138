"""Small indices in place of identifiers that other systems choose."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Id = TypeVar("Id", bound=Hashable)


class IdIndex(Generic[Id]):
    """Gives each identifier an index for as long as it is in use.

    The decision logic keeps rows by index. A released index passes on to the next identifier, so the rows stay as few
    as the identifiers that were ever in use at once.

    Attributes:
        index_by_id: The identifiers in use.
        id_by_index: The identifier of each index; of a released index, the last one that had it.
        free_indices: Released indices, the next one to be given out last.
    """

    def __init__(self) -> None:
        """Starts with no identifier in use."""
        self.index_by_id: dict[Id, int] = {}
        self.id_by_index: list[Id] = []
        self.free_indices: list[int] = []

    def acquire(self, identifier: Id) -> int:
        """The index of an identifier, a new one if the identifier is not in use."""
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
        """Ends the use of the identifier that has this index. A second release does nothing."""
        if self.index_by_id.pop(self.id_by_index[index], None) is not None:
            self.free_indices.append(index)
