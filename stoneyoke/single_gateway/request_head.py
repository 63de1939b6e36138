"""What an RPC's head says, read strictly: whatever is not plainly right is Malformed."""

import math
import re

from stoneyoke.control.parameters import GatewayParameters, Idempotency
from stoneyoke.net.http import MalformedMessage, Message

LONGEST_S = 3600.0  # a deadline beyond this is absurd
PLAIN = re.compile(rb"[0-9]{1,10}(\.[0-9]{1,20})?").fullmatch  # a number: no sign, blank, exponent or word
WHOLE = re.compile(rb"[0-9]{1,10}").fullmatch
HEX_16 = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
TOKEN = re.compile(rb"[!-~]{1,255}").fullmatch  # what passes on to a backend: seen bytes only
ROUNDING = 1 + 1e-6  # the settings' figure and a client's may differ by a single precision's last digit
TARGET = re.compile(rb"[!-~]+").fullmatch
TEXT = re.compile(rb"[ -~]*").fullmatch
ONCE = frozenset(
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


class RpcVocabulary:
    """What a head can name: methods, plans, and gateways by their number."""

    def __init__(self, methods: list[str], plans: list[str], parameters: GatewayParameters) -> None:
        self.methods = {name.encode(): at for at, name in enumerate(methods)}
        self.plans = {name.encode(): at for at, name in enumerate(plans)}
        self.effects = [method.idempotency for method in parameters.methods]
        self.gateways, self.marks = parameters.gateways, parameters.clients_mark_retries
        self.units_max = parameters.units_max or math.inf


class RpcHead:
    """What an RPC's head says, read and checked."""

    __slots__ = ("account", "id", "method", "plan", "repeat", "units", "wait_us", "width")

    def __init__(self, message: Message, names: RpcVocabulary) -> None:
        if message.repeated and (twice := message.repeated & ONCE):
            raise MalformedMessage(f"{min(twice).decode()} comes twice")
        kind, plan = needed(message, b"req-kind"), needed(message, b"x-plan")
        method, at = names.methods.get(kind), names.plans.get(plan)
        if method is None:
            raise MalformedMessage(f"unknown method {kind[:40]!r}", 404)
        if at is None:
            raise MalformedMessage(f"unknown plan {plan[:40]!r}")
        path = message.target.partition(b"?")[0]
        if not path.startswith(b"/") or path.split(b"/", 2)[1] != kind or not TARGET(message.target):
            raise MalformedMessage(f"a path that is not one of {kind[:40]!r}")
        effect = names.effects[method]
        if message.method != (b"GET" if effect is Idempotency.IDEMPOTENT else b"POST"):
            raise MalformedMessage(f"{message.method[:20]!r} is not taken", 405)
        if message.body and effect is Idempotency.IDEMPOTENT:
            raise MalformedMessage("a body where none belongs")
        self.id = needed(message, b"req-id")
        needed(message, b"host")
        if effect is Idempotency.DEDUPLICATED:
            needed(message, b"idempotency-key")
        customer, wait = needed(message, b"x-customer"), needed(message, b"req-deadline")
        if not HEX_16(customer) or (account := int(customer, 16)) >= 1 << 33:
            raise MalformedMessage("x-customer is no 16 hex digits under 2^33")
        if not PLAIN(wait) or float(wait) > LONGEST_S:
            raise MalformedMessage(f"a deadline that is none: {wait[:40]!r}")
        self.repeat = message.headers.get(b"req-retry") == b"1" if names.marks else None
        self.units, self.width = quota(needed(message, b"x-quota"), names)
        self.account, self.method, self.plan, self.wait_us = account, method, at, int(float(wait) * 1_000_000)


def needed(message: Message, name: bytes) -> bytes:
    """A header that each RPC has. Raises Malformed where it is missing."""
    value = message.headers.get(name)
    if not value or not TOKEN(value):
        raise MalformedMessage(f"{name.decode()} {'can not be read' if value else 'is missing'}")
    return value


def quota(text: bytes, names: RpcVocabulary) -> tuple[float, float]:
    """Units and spread, in the one form that the protocol page gives."""
    parts = [part.partition(b"=") for part in text.split(b",")]
    fields = {name: value for name, _, value in parts}
    if (
        len(parts) == 3
        and fields.keys() == {b"units", b"spread", b"first"}
        and (PLAIN(fields[b"units"]) and WHOLE(fields[b"spread"]) and WHOLE(fields[b"first"]))
    ):
        units, spread, first = float(fields[b"units"]), int(fields[b"spread"]), int(fields[b"first"])
        if 0 < units <= names.units_max * ROUNDING and 1 <= spread <= names.gateways > first:
            return units, float(spread)
    raise MalformedMessage(f"no quota of these settings: {text[:60]!r}")
