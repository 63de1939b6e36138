"""The errors of this package."""


class ApiError(Exception):
    """Base of the errors of this package."""


class InvalidField(ApiError):
    """A field is missing or has an invalid value.

    Attributes:
        field: Path of the field, as in `host_map[0].path_map[1].timeout_s`.
        reason: Why its value is invalid.
    """

    def __init__(self, field: str, reason: str) -> None:
        """The error's text consists of the field and the reason."""
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason
