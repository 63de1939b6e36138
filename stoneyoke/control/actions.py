"""Actions: what the decisions ask their host to do, one class for each. No logic here.

Times are whole microseconds. RPCs, backends and customers are small indices, assigned by `runtime/id_index.py`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class StartAttempt:
    """Send the RPC to this backend, and report its end as an AttemptEnded."""

    rpc: int
    backend: int
    time_limit_us: int  # 0: as long as the client waits


@dataclass(slots=True)
class Reject:
    """Reject the RPC, and state after how long the client may retry. This is the final response."""

    rpc: int
    retry_after_us: int
    overloaded: bool = field(default=False, repr=False)  # rejected for lack of backend capacity, not of quota


@dataclass(slots=True)
class FailRpc:
    """Fail the RPC with an error: it may have run, so the client must not retry it. This is the final response."""

    rpc: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt. Its AttemptEnded is still to be reported, with its real outcome."""

    rpc: int
    attempt: int
    only_unsent: bool = field(default=False, repr=False)  # do nothing if the request was already passed to a socket


@dataclass(slots=True)
class SetTimer:
    """Report a TimerFired with this token after the delay."""

    delay_us: int
    token: int


@dataclass(slots=True)
class AddToCounter:
    """Add an amount to a value of the shared counter and report the new total as a CounterReply."""

    name: int
    ttl_us: int
    amount: float


@dataclass(slots=True)
class Subscribe:
    """Ask discovery to report changes of the endpoints from now on."""


@dataclass(slots=True)
class ForgetCustomer:
    """The customer's state is removed: its index may be assigned to another customer."""

    customer: int


Action = StartAttempt | Reject | FailRpc | CancelAttempt | SetTimer | AddToCounter | Subscribe | ForgetCustomer
