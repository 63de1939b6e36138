"""The errors of this package."""


class ApiError(Exception):
    """Base of the errors of this package."""


class InvalidField(ApiError):
    """A value that is not accepted.

    Attributes:
        field: Path of the field, as in `host_map[0].path_map[1].timeout_s`.
        reason: What is wrong with its value.
    """

    def __init__(self, field: str, reason: str) -> None:
        """The error's text names both."""
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason
