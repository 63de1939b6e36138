"""The simulator's wire protocol: codes, layouts, decoding and encoding of frames.

Codes have the names of the protocol's documentation. A frame is a header, then records of a fixed size, then a tail
with all data of variable size.
"""

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, BinaryIO

from stoneyoke.simhost.errors import MalformedFrame

BATCH_HEADER = struct.Struct("<IIQI")  # number, length, clock, records
REPLY_HEADER = struct.Struct("<III")  # number of the batch, length, records
EVENT_SIZE, ACTION_SIZE = 40, 24
ENDPOINT_LAYOUT = struct.Struct("<HHHfIQB")  # cell, zone, machine type, scale, backend, started, state

CLIENT_RETRY_BIT = 2  # in the bitmap of an ACCEPT event
LIST_UPDATE, LIST_FAILED = 0, 3  # modes of a BACKENDS_CHANGED event; with the other modes the list is complete
TIME_MAX_US = 2**32 - 1  # the longest time that an action's field can hold


class EventCode(IntEnum):
    """Events that the simulator sends."""

    SPAWN = 1
    BACKENDS_CHANGED = 2
    ACCEPT = 3
    FIRST = 4
    VERDICT = 5
    GONE = 6
    WAKEUP = 7
    ECHO = 8
    WHISPER = 9
    KILLED = 10
    COUNT_RESULT = 11
    MANIFEST = 12


class ActionCode(IntEnum):
    """Actions that an instance requests of the simulator."""

    SEND = 1
    DECLINE = 2
    REPORT_FAILURE = 3
    CALL_OFF = 4
    TIMER = 5
    BROKEN = 10
    OBSERVE = 11
    BUMP = 13


EVENT_LAYOUTS: dict[int, struct.Struct] = {
    EventCode.SPAWN: struct.Struct("<xHQII"),
    EventCode.BACKENDS_CHANGED: struct.Struct("<xHBQI"),
    EventCode.ACCEPT: struct.Struct("<xHIHIQIfffB"),
    EventCode.FIRST: struct.Struct("<xHIBII"),
    EventCode.VERDICT: struct.Struct("<xHIIHBIHHBB4f"),
    EventCode.GONE: struct.Struct("<xHI"),
    EventCode.WAKEUP: struct.Struct("<xHI"),
    EventCode.ECHO: struct.Struct("<xHIHIB4f"),
    EventCode.WHISPER: struct.Struct("<xHIII"),
    EventCode.KILLED: struct.Struct("<xH"),
    EventCode.COUNT_RESULT: struct.Struct("<xHQIHf"),
    EventCode.MANIFEST: struct.Struct("<xIII"),
}
"""The fields of each event, without the record's code. The instance's number comes first, except in MANIFEST."""

ACTION_LAYOUTS: dict[int, struct.Struct] = {
    ActionCode.SEND: struct.Struct("<BHIII"),
    ActionCode.DECLINE: struct.Struct("<BHII"),
    ActionCode.REPORT_FAILURE: struct.Struct("<BHI"),
    ActionCode.CALL_OFF: struct.Struct("<BHIB"),
    ActionCode.TIMER: struct.Struct("<BHII"),
    ActionCode.BROKEN: struct.Struct("<BHII"),
    ActionCode.OBSERVE: struct.Struct("<BHB"),
    ActionCode.BUMP: struct.Struct("<BHQIf"),
}
"""The code and the fields of each action; the instance's number comes first."""

Fields = tuple[Any, ...]


def read_exactly(source: BinaryIO, size: int, description: str) -> bytes:
    """Reads exactly `size` bytes.

    Raises:
        MalformedFrame: The input ends earlier. The message contains the description.
    """
    data = source.read(size)
    if data is None or len(data) < size:
        raise MalformedFrame(f"truncated {description}: {len(data or b'')} of {size} bytes")
    return data


class Batch:
    """One frame of the simulator.

    Attributes:
        number: The frame's number, which the reply repeats.
        clock_us: The simulated time. It does not advance until the reply.
    """

    def __init__(self, source: BinaryIO, header: bytes) -> None:
        """Reads the rest of a frame after its header.

        Raises:
            MalformedFrame: The frame is truncated, or shorter than its records.
        """
        self.number, length, self.clock_us, count = BATCH_HEADER.unpack(header)
        body = memoryview(read_exactly(source, length, f"frame {self.number}"))
        if count * EVENT_SIZE > length:
            raise MalformedFrame(f"frame {self.number}: {count} records don't fit in {length} bytes")
        self.records = body[: count * EVENT_SIZE]
        self.tail = body[count * EVENT_SIZE :]

    def events(self) -> Iterator[tuple[int, Fields]]:
        """Yields the code and the fields of each event, in order.

        Raises:
            MalformedFrame: A code is unknown.
        """
        for start in range(0, len(self.records), EVENT_SIZE):
            code = self.records[start]
            layout = EVENT_LAYOUTS.get(code)
            if layout is None:
                raise MalformedFrame(f"frame {self.number}, record {start // EVENT_SIZE}: unknown event code {code}")
            yield code, layout.unpack_from(self.records, start)

    def tail_slice(self, offset: int, size: int) -> bytes:
        """Returns `size` bytes of the tail, from `offset` on.

        Raises:
            MalformedFrame: The slice reaches beyond the tail.
        """
        if offset + size > len(self.tail):
            problem = f"offset {offset}, length {size} reach beyond a tail of {len(self.tail)}"
            raise MalformedFrame(f"frame {self.number}: {problem}")
        return bytes(self.tail[offset : offset + size])

    def endpoint_rows(self, offset: int, count: int) -> list[Fields]:
        """Returns the rows of a list of backends, which is in the tail."""
        return list(ENDPOINT_LAYOUT.iter_unpack(self.tail_slice(offset, count * ENDPOINT_LAYOUT.size)))


def batches(source: BinaryIO) -> Iterator[Batch]:
    """Yields the simulator's frames until the input ends.

    Raises:
        MalformedFrame: A frame can't be decoded.
    """
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise MalformedFrame(f"truncated header: {len(header)} of {BATCH_HEADER.size} bytes")
        yield Batch(source, header)


class Reply:
    """The actions in reply to one batch."""

    def __init__(self, number: int) -> None:
        """Starts without actions.

        Args:
            number: The number of the batch.
        """
        self.number = number
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, code: ActionCode, *fields: float) -> None:
        """Adds an action. The first of its fields is the instance's number."""
        self.records.append(ACTION_LAYOUTS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_text(self, code: ActionCode, instance: int, text: str) -> None:
        """Adds an action whose only field is a text."""
        data = text.encode()
        self.add(code, instance, len(self.tail), len(data))
        self.tail += data

    def frame(self) -> bytes:
        """Returns the encoded frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(self.number, len(body), len(self.records)) + body
