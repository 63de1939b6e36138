"""The operators' figures that scenarios are judged by."""

BOUNDS = {
    "contact_s": 3.0,
    "apply_s": 2.5,
    "drain_s": 2.5,
    "grace_s": 6.0,
    "catch_up_s": 4.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10.0,
    "retry_slack": 56.0,
    "quota_window_s": 5.0,
    "quota_excess": 0.1,
    "quota_slack": 20.0,
}
ACK_S = 5.0  # of calm, within which a valid order is acknowledged
REFUSED_S = 0.2  # a controller that is cut off says so within this
CUT_KNOWN_S = 2.2  # after which it knows that it is
CONVERGE_S = 7.0  # after the last fault
TICK_S = 0.02  # between two looks of the judge
BEAT_S = 1.5  # between two heartbeats of a backend
CALL_S = 1.0  # after which a caller from outside gives up

START_S = 1000.0  # the first moment of a scenario, by the loop's clock
