"""Reads an RPC's request line and headers strictly: anything that is not clearly valid is malformed."""

import math
import re
from dataclasses import dataclass

from stoneyoke.control.parameters import GatewayParameters, Idempotency
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message
from stoneyoke.runtime.pending_request import RequestDescription

DEADLINE_MAX_S = 3600.0  # a longer deadline is rejected as a mistake
CUSTOMER_IDS = 1 << 33  # the number of valid customer numbers, from 0
QUOTED_BYTES = 40  # of a header's value, in an error message
UNITS_TOLERANCE = 1 + 1e-6  # the settings' number and a client's may differ in the last digit of single precision

is_decimal = re.compile(rb"[0-9]{1,10}(\.[0-9]{1,20})?").fullmatch  # no sign, space, exponent or word
is_whole_number = re.compile(rb"[0-9]{1,10}").fullmatch
is_customer_id = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
is_token = re.compile(rb"[!-~]{1,255}").fullmatch  # only visible ASCII is forwarded to a backend
is_target = re.compile(rb"[!-~]+").fullmatch
is_text = re.compile(rb"[ -~]*").fullmatch

SINGLE_HEADERS = frozenset(
    (
        b"host",
        b"req-id",
        b"req-kind",
        b"x-plan",
        b"x-customer",
        b"req-deadline",
        b"x-quota",
        b"idempotency-key",
        b"req-retry",
    )
)
"""Headers that must not be repeated, because two readers could use different ones of their values."""

QUOTA_FIELDS = frozenset((b"units", b"spread", b"first"))


class RpcDefinitions:
    """The methods, plans and limits of the settings, which the heads of RPCs are checked against.

    Attributes:
        methods: The number of each method, by name.
        plans: The number of each plan, by name.
        idempotency: The idempotency of each method, by number.
        gateways: The number of gateways.
        clients_mark_retries: Whether clients mark those of their requests that are retries.
        units_max: The largest cost of one RPC; infinite if the settings have no limit.
    """

    def __init__(self, methods: list[str], plans: list[str], parameters: GatewayParameters) -> None:
        """Numbers methods and plans in the order of the settings."""
        self.methods = {name.encode(): number for number, name in enumerate(methods)}
        self.plans = {name.encode(): number for number, name in enumerate(plans)}
        self.idempotency = [method.idempotency for method in parameters.methods]
        self.gateways = parameters.gateways
        self.clients_mark_retries = parameters.clients_mark_retries
        self.units_max = parameters.units_max or math.inf


@dataclass(slots=True, kw_only=True, eq=False)
class RpcHead(RequestDescription):
    """The content of a request's head, validated.

    Attributes:
        id: The RPC's identifier, which the client chose.
        wait_us: How long the client waits for the response, in microseconds.
    """

    id: bytes
    wait_us: int


def read_rpc_head(message: Message, definitions: RpcDefinitions) -> RpcHead:
    """Reads a request's head.

    Raises:
        MalformedMessage: A value is missing, repeated, unknown or out of range. The status for the client is 404 for
            an unknown RPC method, 405 for a wrong HTTP method, else 400.
    """
    if message.repeated and (repeated := message.repeated & SINGLE_HEADERS):
        raise MalformedMessage(f"{min(repeated).decode()} comes twice")
    name, plan_name = required_header(message, b"req-kind"), required_header(message, b"x-plan")
    method, plan = definitions.methods.get(name), definitions.plans.get(plan_name)
    if method is None:
        raise MalformedMessage(f"unknown method {name[:QUOTED_BYTES]!r}", 404)
    if plan is None:
        raise MalformedMessage(f"unknown plan {plan_name[:QUOTED_BYTES]!r}")
    idempotency = definitions.idempotency[method]
    check_request_line(message, name, idempotency)
    rpc_id = required_header(message, b"req-id")
    required_header(message, b"host")
    if idempotency is Idempotency.DEDUPLICATED:
        required_header(message, b"idempotency-key")
    customer_id, wait_us = read_customer_and_deadline(message)
    units, customer_gateways = read_quota(required_header(message, b"x-quota"), definitions)
    return RpcHead(
        method=method,
        plan=plan,
        customer_id=customer_id,
        units=units,
        customer_gateways=customer_gateways,
        is_retry=message.headers.get(b"req-retry") == b"1" if definitions.clients_mark_retries else None,
        id=rpc_id,
        wait_us=wait_us,
    )


def check_request_line(message: Message, name: bytes, idempotency: Idempotency) -> None:
    """Checks that path, HTTP method and body match the RPC method that the headers name.

    Raises:
        MalformedMessage: One of them does not match.
    """
    path = message.target.partition(b"?")[0]
    if not path.startswith(b"/") or path.split(b"/", 2)[1] != name or not is_target(message.target):
        raise MalformedMessage(f"a path that is not one of {name[:QUOTED_BYTES]!r}")
    if message.method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise MalformedMessage(f"{message.method[:20]!r} is not taken", 405)
    if message.body and idempotency is Idempotency.IDEMPOTENT:
        raise MalformedMessage("a body where none belongs")


def read_customer_and_deadline(message: Message) -> tuple[int, int]:
    """Returns the customer's number, and how long the client waits, in microseconds.

    Raises:
        MalformedMessage: One of the two headers is missing or invalid.
    """
    customer, deadline = required_header(message, b"x-customer"), required_header(message, b"req-deadline")
    if not is_customer_id(customer) or (customer_id := int(customer, 16)) >= CUSTOMER_IDS:
        raise MalformedMessage("x-customer is no 16 hex digits under 2^33")
    if not is_decimal(deadline) or float(deadline) > DEADLINE_MAX_S:
        raise MalformedMessage(f"a deadline that is none: {deadline[:QUOTED_BYTES]!r}")
    return customer_id, int(float(deadline) * 1_000_000)


def required_header(message: Message, name: bytes) -> bytes:
    """Returns the value of a required header.

    Raises:
        MalformedMessage: The header is missing, or its value is not a token.
    """
    value = message.headers.get(name)
    if not value or not is_token(value):
        raise MalformedMessage(f"{name.decode()} {'can not be read' if value else 'is missing'}")
    return value


def read_quota(text: bytes, definitions: RpcDefinitions) -> tuple[float, float]:
    """Returns the RPC's cost in units, and the number of gateways that receive its customer's RPCs.

    Raises:
        MalformedMessage: The header does not have the form `units=U,spread=N,first=I`, or a number is out of range.
    """
    parts = [part.partition(b"=") for part in text.split(b",")]
    fields = {name: value for name, _, value in parts}
    if (
        len(parts) == len(QUOTA_FIELDS)
        and fields.keys() == QUOTA_FIELDS
        and (is_decimal(fields[b"units"]) and is_whole_number(fields[b"spread"]) and is_whole_number(fields[b"first"]))
    ):
        units, spread, first = float(fields[b"units"]), int(fields[b"spread"]), int(fields[b"first"])
        if 0 < units <= definitions.units_max * UNITS_TOLERANCE and 1 <= spread <= definitions.gateways > first:
            return units, float(spread)
    raise MalformedMessage(f"no quota of these settings: {text[:60]!r}")
