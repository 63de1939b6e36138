"""Encodes messages as frames and decodes them.

A frame is a length of four bytes and a msgpack array: the message's tag, the call number, and the message's fields in
the order of its class. Rows are arrays of their fields in order. Any other input raises MalformedMessage.
"""

from collections.abc import Callable
from dataclasses import fields
from types import GenericAlias
from typing import Any, get_args

import msgpack

from stoneyoke.transport.errors import MalformedMessage
from stoneyoke.transport.messages.consensus import (
    AcceptRequest,
    AcceptResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    PrepareRequest,
    PrepareResponse,
    QueryRequest,
    QueryResponse,
    ValueRequest,
    ValueResponse,
)
from stoneyoke.transport.messages.instances import InstanceRefresh, InstanceUpdate, InstanceUpdateResponse
from stoneyoke.transport.messages.lease import LeaseRequest, LeaseResponse
from stoneyoke.transport.messages.pull import FetchRequest, FetchResponse, PullRequest, PullResponse
from stoneyoke.transport.messages.quota import QuotaRequest, QuotaResponse

# The version of the tags and of each message's fields. It is not sent: all processes of a system use the same version.
FORMAT_VERSION = 1
LENGTH_BYTES = 4
FRAME_BYTES_MAX = 1 << 26
FLOAT_LIMIT = 1e15
INT_LIMIT = 1 << 62

# A message's tag is its index here, so new kinds must be appended.
KINDS: tuple[type, ...] = (
    PullRequest,
    PullResponse,
    FetchRequest,
    FetchResponse,
    PrepareRequest,
    PrepareResponse,
    AcceptRequest,
    AcceptResponse,
    QueryRequest,
    QueryResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    ValueRequest,
    ValueResponse,
    InstanceUpdate,
    InstanceRefresh,
    InstanceUpdateResponse,
    LeaseRequest,
    LeaseResponse,
    QuotaRequest,
    QuotaResponse,
)
Message = (
    PullRequest
    | PullResponse
    | FetchRequest
    | FetchResponse
    | PrepareRequest
    | PrepareResponse
    | AcceptRequest
    | AcceptResponse
    | QueryRequest
    | QueryResponse
    | ChosenNotice
    | ChosenNoticeResponse
    | ValueRequest
    | ValueResponse
    | InstanceUpdate
    | InstanceRefresh
    | InstanceUpdateResponse
    | LeaseRequest
    | LeaseResponse
    | QuotaRequest
    | QuotaResponse
)
# The response to each request; a caller accepts no other kind. A kind that is not a key is itself a response.
RESPONSES: dict[type, type] = {
    PullRequest: PullResponse,
    FetchRequest: FetchResponse,
    PrepareRequest: PrepareResponse,
    AcceptRequest: AcceptResponse,
    QueryRequest: QueryResponse,
    ChosenNotice: ChosenNoticeResponse,
    ValueRequest: ValueResponse,
    InstanceUpdate: InstanceUpdateResponse,
    InstanceRefresh: InstanceUpdateResponse,
    LeaseRequest: LeaseResponse,
    QuotaRequest: QuotaResponse,
}

Decoder = Callable[[Any], Any]


def pack(call_number: int, message: Message) -> bytes:
    """Encodes a message as a frame."""
    kind = type(message)
    body: bytes = msgpack.packb(
        [TAGS[kind], call_number, *(getattr(message, name) for name, _ in FIELD_DECODERS[kind])]
    )
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def unpack(body: bytes) -> tuple[int, Message]:
    """Decodes a frame without its length, and returns the call number and the message.

    Raises:
        MalformedMessage: The bytes are not msgpack, or not a message of this format.
    """
    try:
        parts = msgpack.unpackb(body, use_list=False, strict_map_key=True, max_ext_len=0)
    except Exception as error:  # msgpack raises a dozen exception types of its own, and ValueError
        raise MalformedMessage(f"invalid msgpack: {error}"[:100]) from error
    if not isinstance(parts, tuple) or len(parts) < 2 or not all(type(one) is int for one in parts[:2]):
        raise MalformedMessage("a frame does not begin with a tag and a call number")
    tag, call_number, *values = parts
    if not 0 <= tag < len(KINDS) or not 0 <= call_number < INT_LIMIT:
        raise MalformedMessage(f"unknown message tag {tag} or invalid call number {call_number}")
    kind = KINDS[tag]
    decoders = FIELD_DECODERS[kind]
    if len(values) != len(decoders):
        raise MalformedMessage(f"a {kind.__name__} has {len(values)} fields, expected {len(decoders)}")
    decoded = zip(decoders, values, strict=True)
    message: Message = kind(**{name: decode(value) for (name, decode), value in decoded})
    return call_number, message


def decoder_of(expected: Any, kind: type) -> Decoder:
    """Builds the decoder of a field's type.

    Args:
        expected: str, bytes, bool, int, float, a named tuple of these, or a list of one of these.
        kind: The message type that contains the field, for error messages.

    Returns:
        A function that returns an unpacked value, or raises MalformedMessage if it is not of the expected type.
    """
    if isinstance(expected, GenericAlias):
        return list_decoder(decoder_of(get_args(expected)[0], kind), kind)
    if issubclass(expected, tuple):
        return row_decoder(expected, kind)
    if expected is float:
        return float_decoder(kind)
    if expected is int:
        return int_decoder(kind)
    return exact_decoder(expected, kind)


def list_decoder(decode_item: Decoder, kind: type) -> Decoder:
    """Builds the decoder of a list whose items are decoded by `decode_item`."""

    def decode(value: Any) -> Any:
        if type(value) is not tuple:
            raise MalformedMessage(f"a {kind.__name__} has a value that is not a list where a list is expected")
        return [decode_item(item) for item in value]

    return decode


def row_decoder(row_type: Any, kind: type) -> Decoder:
    """Builds the decoder of a named tuple."""
    decoders = tuple(decoder_of(expected, kind) for expected in row_type.__annotations__.values())
    make = row_type._make
    length = len(decoders)

    def decode(value: Any) -> Any:
        if type(value) is not tuple or len(value) != length:
            raise MalformedMessage(f"a {kind.__name__} has an invalid {row_type.__name__}")
        return make([decode_field(item) for decode_field, item in zip(decoders, value, strict=True)])

    return decode


def float_decoder(kind: type) -> Decoder:
    """Builds the decoder of a float below FLOAT_LIMIT; a msgpack peer may send a whole number as an integer."""

    def decode(value: Any) -> float:
        if type(value) is int:
            value = float(value)
        if type(value) is not float or not abs(value) < FLOAT_LIMIT:
            raise wrong_type(kind, value, float)
        return value

    return decode


def int_decoder(kind: type) -> Decoder:
    """Builds the decoder of an integer below INT_LIMIT; a bool is rejected."""

    def decode(value: Any) -> int:
        if type(value) is not int or not -INT_LIMIT < value < INT_LIMIT:
            raise wrong_type(kind, value, int)
        return value

    return decode


def exact_decoder(expected: type, kind: type) -> Decoder:
    """Builds the decoder of a value of exactly one type."""

    def decode(value: Any) -> Any:
        if type(value) is not expected:
            raise wrong_type(kind, value, expected)
        return value

    return decode


def wrong_type(kind: type, value: Any, expected: type) -> MalformedMessage:
    """Builds the error for a value of the wrong type or out of range."""
    return MalformedMessage(f"a {kind.__name__} has {str(value)[:40]!r} where a valid {expected.__name__} is expected")


def field_decoders(kind: type) -> tuple[tuple[str, Decoder], ...]:
    """Returns the name and the decoder of each field of a message, in the order on the wire."""
    return tuple((field.name, decoder_of(field.type, kind)) for field in fields(kind))


TAGS = {kind: tag for tag, kind in enumerate(KINDS)}
FIELD_DECODERS = {kind: field_decoders(kind) for kind in KINDS}
