"""The operators' figures that scenarios are judged by."""

from stoneyoke.api.bounds import ServiceBounds

BOUNDS = ServiceBounds(retry_slack_attempts=56.0)
ACK_S = 5.0  # of calm, within which a valid order is acknowledged
REFUSED_S = 0.2  # a controller that is cut off says so within this
CUT_KNOWN_S = 2.2  # after which it knows that it is
CONVERGE_S = 7.0  # after the last fault
CHECK_INTERVAL_S = 0.02  # between two looks of the judge
HEARTBEAT_S = 1.5  # between two heartbeats of a backend
CALL_S = 1.0  # after which a caller from outside gives up

START_S = 1000.0  # the first moment of a scenario, by the loop's clock
