"""The errors of this package. What a disk refuses is a `StorageError` of the storage package."""


class ConsensusError(Exception):
    """Base of the errors of this package."""


class InvalidRecord(ConsensusError):
    """A record is whole, but its fields aren't those of its family.

    Its digest matches, so it was written like this: by another release, or because of a fault in this one.

    Attributes:
        family: The record's family.
        reason: What is wrong with it.
    """

    def __init__(self, family: str, reason: object) -> None:
        """Keeps what failed; the text is "family: reason"."""
        super().__init__(f"{family}: {reason}")
        self.family, self.reason = family, reason
