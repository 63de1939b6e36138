"""The bounds that the operators judge the system by: a table of settings, and the typed record read from it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stoneyoke.api.checks import above, at_least
from stoneyoke.api.schema import Setting, Table, read_table


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceBounds:
    """The operators' bounds; the defaults hold where a settings file names none.

    Attributes:
        contact_s: Time for which a machine must have run undisturbed to count as in touch.
        drain_s: Time after an acknowledged drain at which no request reaches the backend any more.
        grace_s: Time from SIGTERM until the platform ends a process with SIGKILL.
        catch_up_s: Time in which a restarted machine is ready and has what it missed.
        apply_s: Time in which a configuration is in force after its acknowledgement.
        retry_ratio: Attempts beyond the first that a service may see, as a share of its requests in a window.
        retry_window_s: Length of that window.
        retry_slack_attempts: Attempts beyond that share, in one window.
        quota_window_s: Length of the window over which a tenant's quota is judged.
        quota_excess_ratio: Share by which a tenant's units in a window may exceed its quota.
        quota_slack_units: Units beyond that share, in one window.

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
# The settings whose names do not say their unit, and their fields here.
FIELD_NAMES = {
    "retry_slack": "retry_slack_attempts",
    "quota_excess": "quota_excess_ratio",
    "quota_slack": "quota_slack_units",
}


def service_bounds(settings: Mapping[str, Any] | None) -> ServiceBounds:
    """The bounds out of a `bound_set` that was read with BOUND_SETTINGS, or the defaults where there is none."""
    found = read_table({}, BOUND_SETTINGS) if settings is None else settings
    return ServiceBounds(**{FIELD_NAMES.get(name, name): value for name, value in found.items()})
