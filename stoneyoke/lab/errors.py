"""Errors of the laboratory, all under one base."""


class LabError(Exception):
    """Base of the errors that the laboratory raises."""


class InvalidScenario(LabError):
    """A scenario is invalid. The text is one line: the file, the key and the reason."""


class UnknownFaultKind(LabError):
    """There is no kind of fault with this name."""


class CannotRun(LabError):
    """A run is not possible: the machine lacks resources, or a process failed. The text is one line."""


class NotReady(CannotRun):
    """A gateway did not become ready. The text names it, with its last log line if it has exited."""
