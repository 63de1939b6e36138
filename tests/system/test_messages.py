"""The codec: every message is decoded as it was encoded, and any other input is rejected as malformed."""

from collections.abc import Iterator
from typing import Any

import msgpack
from compatibility.recorded_messages import recorded_values
from ward import each, raises, test

from stoneyoke.transport.messages import KINDS, MalformedMessage, Message, pack, unpack
from stoneyoke.transport.messages.codec import LENGTH_BYTES

EXAMPLES = recorded_values()[: len(KINDS)]  # one of each kind
EACH_EXAMPLE = each(*EXAMPLES)
CALL_NUMBER = 5
MSGPACK_NIL = b"\xc0"


def body_of(message: Message) -> bytes:
    """Returns a frame without its length."""
    return pack(CALL_NUMBER, message)[LENGTH_BYTES:]


@test("there is an example of each message type")
def _() -> None:
    assert [type(example) for example in EXAMPLES] == list(KINDS)


@test("a {message.__class__.__name__} is decoded as it was encoded")
def _(message: Message = EACH_EXAMPLE) -> None:
    assert unpack(body_of(message)) == (CALL_NUMBER, message)


def byte_mutations(body: bytes) -> Iterator[bytes]:
    """Yields the body truncated, with bits flipped, and with nil instead of a byte, at each of its bytes."""
    for at in range(len(body)):
        yield body[:at]
        yield body[:at] + bytes([body[at] ^ 0x81]) + body[at + 1 :]
        yield body[:at] + MSGPACK_NIL + body[at + 1 :]


@test("decoding a mutated message raises no exception but MalformedMessage")
def _() -> None:
    malformed = 0
    for message in EXAMPLES:
        for mutated in byte_mutations(body_of(message)):
            try:
                unpack(mutated)
            except MalformedMessage:
                malformed += 1
    assert malformed > 500


def values_of_other_types(value: Any) -> list[Any]:
    """Returns values of types that are not valid for the field of this value."""
    others: list[Any] = [None, {}, -(1 << 63), [[1]], 3 if isinstance(value, str) else "x"]
    return others if isinstance(value, float) else [*others, 3.5]


@test("a {message.__class__.__name__} with a value of another type is malformed")
def _(message: Message = EACH_EXAMPLE) -> None:
    tag, number, *values = msgpack.unpackb(body_of(message))
    for at, value in enumerate(values):
        for other in values_of_other_types(value):
            with raises(MalformedMessage):
                unpack(msgpack.packb([tag, number, *values[:at], other, *values[at + 1 :]]))


@test("a {message.__class__.__name__} with an extra or a missing value is malformed")
def _(message: Message = EACH_EXAMPLE) -> None:
    tag, number, *values = msgpack.unpackb(body_of(message))
    with raises(MalformedMessage):
        unpack(msgpack.packb([tag, number, *values, 1]))
    if values:
        with raises(MalformedMessage):
            unpack(msgpack.packb([tag, number, *values[:-1]]))


@test("a message with an unknown tag is malformed")
def _() -> None:
    with raises(MalformedMessage):
        unpack(msgpack.packb([len(KINDS), 0]))
