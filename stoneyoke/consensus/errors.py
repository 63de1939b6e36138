"""The errors of this package. A failure of the disk is a `StorageError` of the storage package."""


class ConsensusError(Exception):
    """Base of the errors of this package."""


class InvalidRecord(ConsensusError):
    """A record is whole, but its fields aren't valid for its family.

    The record's digest matches, so the disk didn't damage it: another release wrote it, or this release has a fault.

    Attributes:
        family: The record's family.
        reason: What is wrong with it.
    """

    def __init__(self, family: str, reason: object) -> None:
        """Stores both attributes; the error's text is "family: reason"."""
        super().__init__(f"{family}: {reason}")
        self.family, self.reason = family, reason
