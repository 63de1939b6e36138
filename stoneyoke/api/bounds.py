"""The operators' bounds on the system's behaviour: a table of settings, and the dataclass that is read from it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.checks import above, at_least
from stoneyoke.api.schema import Setting, Table, read_table


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceBounds:
    """The operators' bounds; the defaults apply if the settings file has none.

    Attributes:
        contact_s: Time for which a machine must have run undisturbed to count as in touch, in seconds.
        drain_s: Time after an acknowledged drain from which on no request reaches the backend, in seconds.
        grace_s: Time from SIGTERM until the platform kills a process with SIGKILL, in seconds.
        catch_up_s: Time within which a restarted machine is ready and has the changes that it missed, in seconds.
        apply_s: Time within which a configuration is in force after its acknowledgement, in seconds.
        retry_ratio: Attempts beyond the first that a service may receive, as a fraction of its requests in a window.
        retry_window_s: Length of that window, in seconds.
        retry_slack_attempts: Attempts beyond the first that are allowed in one window in addition to that fraction.
        quota_window_s: Length of the window over which a tenant's use of its quota is measured, in seconds.
        quota_excess_ratio: Fraction by which a tenant's units in a window may exceed its quota.
        quota_slack_units: Units in one window that are allowed in addition to that fraction.

    Source:
        The operators' RULES (DRAIN, LOST, CONFIG, BUDGET, QUOTA) and DEPLOY, `term_set.bound_set`.
    """

    contact_s: float = 3.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    catch_up_s: float = 4.0
    apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack_attempts: float = 20.0
    quota_window_s: float = 5.0
    quota_excess_ratio: float = 0.1
    quota_slack_units: float = 20.0


DEFAULT = ServiceBounds()

BOUND_SETTINGS: Table = (
    Setting("contact_s", float, DEFAULT.contact_s, above(0)),
    Setting("drain_s", float, DEFAULT.drain_s, above(0)),
    Setting("grace_s", float, DEFAULT.grace_s, above(0)),
    Setting("catch_up_s", float, DEFAULT.catch_up_s, above(0)),
    Setting("apply_s", float, DEFAULT.apply_s, above(0)),
    Setting("retry_ratio", float, DEFAULT.retry_ratio, at_least(0)),
    Setting("retry_window_s", float, DEFAULT.retry_window_s, above(0)),
    Setting("retry_slack", float, DEFAULT.retry_slack_attempts, at_least(0)),
    Setting("quota_window_s", float, DEFAULT.quota_window_s, above(0)),
    Setting("quota_excess", float, DEFAULT.quota_excess_ratio, at_least(0)),
    Setting("quota_slack", float, DEFAULT.quota_slack_units, at_least(0)),
)
# Settings whose names lack the unit, with the fields of ServiceBounds that hold them.
FIELD_NAMES = {
    "retry_slack": "retry_slack_attempts",
    "quota_excess": "quota_excess_ratio",
    "quota_slack": "quota_slack_units",
}


def service_bounds(settings: Mapping[str, Any] | None) -> ServiceBounds:
    """Converts a `bound_set` that was read with BOUND_SETTINGS; returns the defaults for None."""
    found = read_table({}, BOUND_SETTINGS) if settings is None else settings
    return ServiceBounds(**{FIELD_NAMES.get(name, name): value for name, value in found.items()})
