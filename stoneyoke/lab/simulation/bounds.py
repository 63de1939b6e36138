"""The bounds that scenarios are checked against: the operators', and the simulation's own time limits."""

from stoneyoke.api.bounds import ServiceBounds

BOUNDS = ServiceBounds(retry_slack_attempts=56.0)

ACKNOWLEDGE_S = 5.0  # without disturbance, in which a valid order is acknowledged
REFUSE_S = 0.2  # in which a controller that is cut off refuses a call
DETECT_CUT_S = 2.2  # after which a controller must know that it is cut off
CONVERGE_S = 7.0  # after the last fault, when all machines agree again
CHECK_INTERVAL_S = 0.02  # between two checks of the invariants
HEARTBEAT_S = 1.5  # between two heartbeats of a backend
CALL_TIMEOUT_S = 1.0  # after which an operator or a backend gives up a call
