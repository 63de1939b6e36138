"""What the decisions ask their host to do: one typed action for each thing. No logic here.

Times are whole microseconds. RPCs, backends and customers are small indices, given by runtime/id_index.py.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class StartAttempt:
    """Send the RPC to this backend."""

    rpc: int
    backend: int
    limit_us: int  # 0: as long as the client waits


@dataclass(slots=True)
class Reject:
    """Answer the RPC with a time after which to return."""

    rpc: int
    wait_us: int
    pressed: bool = field(default=False, repr=False)  # the back end is, not the customer's quota


@dataclass(slots=True)
class Abandon:
    """End an RPC whose answer can't be completed."""

    rpc: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop a call-out that is no longer needed."""

    rpc: int
    n: int


@dataclass(slots=True)
class SetTimer:
    """Tell of a TimerFired with this token after the delay."""

    delay_us: int
    token: int


@dataclass(slots=True)
class AddToCounter:
    """Add an amount to a counter's value, and tell its total."""

    name: int
    life_us: int
    amount: float


@dataclass(slots=True)
class Subscribe:
    """Ask discovery to tell of changes from now on."""


@dataclass(slots=True)
class ForgetCustomer:
    """The door may give this customer's index to another."""

    customer: int


Action = StartAttempt | Reject | Abandon | CancelAttempt | SetTimer | AddToCounter | Subscribe | ForgetCustomer
