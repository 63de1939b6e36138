"""The errors of this package."""


class StorageError(Exception):
    """Base of the errors of this package: a record could not be written or read."""


class WriteQueueFull(StorageError):
    """The disk doesn't answer, and too many writes wait for it already."""


class RecordError(StorageError):
    """Something failed with one record.

    Attributes:
        record: Its name, made of family and number; the family alone where all its records are meant.
        reason: What went wrong.
    """

    FAILURE = "failed"

    def __init__(self, record: str, reason: object) -> None:
        """Keeps what failed; the text is one sentence for a log line."""
        super().__init__(f"{record} {self.FAILURE}: {reason}")
        self.record, self.reason = record, reason


class RecordNotWritten(RecordError):
    """The disk refused the record, or is full."""

    FAILURE = "could not be written"


class RecordNotRead(RecordError):
    """The disk refused the record, or the family. Which record is the newest whole one is unknown."""

    FAILURE = "could not be read"


class TornRecord(RecordError):
    """The record isn't whole, so its `save` never returned."""

    FAILURE = "is torn"
