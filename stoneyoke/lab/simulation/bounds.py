"""The bounds against which scenarios are checked: those of the operators, and time limits of the simulation."""

from stoneyoke.api.bounds import ServiceBounds

BOUNDS = ServiceBounds(retry_slack_attempts=56.0)

ACKNOWLEDGE_S = 5.0  # undisturbed time within which the outcome of a valid configuration change must be certain
REJECT_S = 0.2  # time within which an isolated controller must reject a call
DETECT_ISOLATION_S = 2.2  # time after which a controller must have detected that it is isolated
CONVERGE_S = 7.0  # time after the last fault within which all machines agree again
CHECK_INTERVAL_S = 0.02  # interval between two checks of the invariants
HEARTBEAT_S = 1.5  # interval between two heartbeats of a backend
CALL_TIMEOUT_S = 1.0  # time-out of a call of an operator or a backend
