"""Actions: what the decisions ask their host to do, one type for each thing. No logic here.

Times are whole microseconds. RPCs, backends and customers are small indices, which `runtime/id_index.py` hands out.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class StartAttempt:
    """Send the RPC to this backend. An AttemptEnded is owed for it."""

    rpc: int
    backend: int
    time_limit_us: int  # 0: as long as the client waits


@dataclass(slots=True)
class Reject:
    """Answer the RPC with a rejection that states when the client may come back. A final answer."""

    rpc: int
    retry_after_us: int
    overloaded: bool = field(default=False, repr=False)  # for lack of backend capacity, not of quota


@dataclass(slots=True)
class FailRpc:
    """Answer the RPC with an error: it may have run, so the client must not send it again. A final answer."""

    rpc: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt. Its AttemptEnded is still owed and tells how it really ended."""

    rpc: int
    attempt: int
    only_unsent: bool = field(default=False, repr=False)  # leave it alone once its request has been offered to a socket


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
    """Nothing is remembered of this customer any more: its index may be given to another one."""

    customer: int


Action = StartAttempt | Reject | FailRpc | CancelAttempt | SetTimer | AddToCounter | Subscribe | ForgetCustomer
