"""The errors of this package."""


class StorageError(Exception):
    """Base of the errors of this package: a record could not be written or read."""


class WriteQueueFull(StorageError):
    """The disk doesn't respond, and too many writes wait for it already."""


class RecordError(StorageError):
    """An operation on a record failed.

    Attributes:
        record: The record's name, made of family and number; the family alone if the error concerns all its records.
        reason: What went wrong.
    """

    FAILURE = "failed"

    def __init__(self, record: str, reason: object) -> None:
        """Stores both attributes; the error's text is one sentence for a log line."""
        super().__init__(f"{record} {self.FAILURE}: {reason}")
        self.record, self.reason = record, reason


class RecordNotWritten(RecordError):
    """The write of a record failed, for example because the disk is full."""

    FAILURE = "could not be written"


class RecordNotRead(RecordError):
    """The read of a record or a family failed. So it is unknown which record is the newest whole one."""

    FAILURE = "could not be read"


class TornRecord(RecordError):
    """The record isn't whole, so the `save` that wrote it never returned."""

    FAILURE = "is torn"
