"""Errors of the laboratory, all under one base."""


class LabError(Exception):
    """Base of the errors that the laboratory raises."""


class InvalidScenario(LabError):
    """A scenario can't be used. The text is one line: the file, the key and the reason."""


class UnknownFaultKind(LabError):
    """No fault has this name."""


class CannotRun(LabError):
    """The machine can't hold a run. The text is one line."""


class NotReady(CannotRun):
    """A gateway did not become ready. The text names it, with the last line that it printed."""
