"""Shared by scripted scenarios: addresses, times, message types and a steady series of configuration changes."""

from typing import Any

from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.lab.simulation.plans import Fault, FaultKind, Order, controller_address, gateway_address

C1, C2, C3, C4, C5, C6, C7 = (controller_address(index) for index in range(7))
G1, G2, G3 = (gateway_address(index) for index in range(3))
CATCH_UP_S = BOUNDS.catch_up_s
REPLACEMENT_GAP_S = 0.5  # time between the removal of a machine and the start of its successor
BEGIN_S = 4.0  # time by which a system that starts for the first time is stable
MESSAGE_TYPES = ("PrepareRequest", "AcceptRequest", "ChosenNotice", "QueryRequest", "ValueRequest", "LeaseRequest")


def steady_orders(seconds: float, every_s: float = 2.0, contents: int = 1, again: int = 0) -> tuple[Order, ...]:
    """Returns configuration changes with rising numbers from BEGIN_S on.

    Args:
        seconds: Duration of the series.
        every_s: Seconds between two changes.
        contents: See `Order`.
        again: See `Order`.
    """
    return tuple(
        Order(round(BEGIN_S + every_s * index, 2), 2 + index, contents=contents, again=again)
        for index in range(int(seconds / every_s))
    )


def at_message(at: float, triggered: FaultKind, for_s: float, message: str, **details: Any) -> Fault:
    """Returns a fault that a message triggers.

    Args:
        at: Seconds from the start of the scenario, from which on messages are counted.
        triggered: The kind of the fault.
        for_s: Duration of the fault in seconds.
        message: The type of the message.
        **details: Other fields of `Fault`, such as `sent` and `count`.
    """
    return Fault(at, FaultKind.AT_MESSAGE, for_s, how=triggered, message=message, **details)
