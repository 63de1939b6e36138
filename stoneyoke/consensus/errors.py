"""The errors of this package. What a disk refuses is a `StorageError` of the storage package."""


class ConsensusError(Exception):
    """Base of the errors of this package."""


class InvalidRecord(ConsensusError):
    """A whole record doesn't hold what its family should.

    Its digest is right, so it was written so: by another release, or by a fault of this one.

    Attributes:
        family: The record's family.
        reason: What is wrong with it.
    """

    def __init__(self, family: str, reason: object) -> None:
        """Keeps what failed; the text is "family: reason"."""
        super().__init__(f"{family}: {reason}")
        self.family, self.reason = family, reason
