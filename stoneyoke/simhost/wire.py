"""Frames of the simulator's wire. All its words and codes stay in this package."""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO


class Malformed(Exception):
    """A frame that can't be read; the text says what and where."""


HEADER = struct.Struct("<IIQI")
REPLY = struct.Struct("<III")
EVENT_SIZE, ACTION_SIZE = 40, 24
ENTRY = struct.Struct("<HHHfIQB")

REPEAT = 2  # of an RPC's bits: a client's later try
SPAWN, LIST_NEWS, ACCEPT, FIRST, VERDICT, GONE = range(1, 7)
WAKEUP, ECHO, WHISPER, KILLED, COUNTED, MANIFEST = range(7, 13)
EVENTS = {
    SPAWN: struct.Struct("<xHQII"),
    LIST_NEWS: struct.Struct("<xHBQI"),
    ACCEPT: struct.Struct("<xHIHIQIfffB"),
    FIRST: struct.Struct("<xHIBII"),
    VERDICT: struct.Struct("<xHIIHBIHHBB4f"),
    GONE: struct.Struct("<xHI"),
    WAKEUP: struct.Struct("<xHI"),
    ECHO: struct.Struct("<xHIHIB4f"),
    WHISPER: struct.Struct("<xHIII"),
    KILLED: struct.Struct("<xH"),
    COUNTED: struct.Struct("<xHQIHf"),
    MANIFEST: struct.Struct("<xIII"),
}

SEND, DECLINE, REPORT_FAILURE, CALL_OFF, TIMER = range(1, 6)
BROKEN, OBSERVE, BUMP = 10, 11, 13
ACTIONS = {
    SEND: struct.Struct("<BHIII"),
    DECLINE: struct.Struct("<BHII"),
    REPORT_FAILURE: struct.Struct("<BHI"),
    CALL_OFF: struct.Struct("<BHIB"),
    TIMER: struct.Struct("<BHII"),
    BROKEN: struct.Struct("<BHII"),
    OBSERVE: struct.Struct("<BHB"),
    BUMP: struct.Struct("<BHQIf"),
}


def read_exactly(source: BinaryIO, size: int, what: str) -> bytes:
    """So many bytes. Raises Malformed, which says what was cut short."""
    data = source.read(size)
    if data is None or len(data) < size:
        raise Malformed(f"truncated {what}: {len(data or b'')} of {size} bytes")
    return data


class Batch:
    """One frame from the simulator: its number, its clock and its events."""

    def __init__(self, source: BinaryIO, head: bytes) -> None:
        self.number, length, self.clock, count = HEADER.unpack(head)
        body = read_exactly(source, length, f"frame {self.number}")
        if count * EVENT_SIZE > length:
            raise Malformed(f"frame {self.number}: {count} records don't fit in {length} bytes")
        self.records = memoryview(body)[: count * EVENT_SIZE]
        self.tail = memoryview(body)[count * EVENT_SIZE :]

    def events(self) -> Iterator[tuple[int, tuple[Any, ...]]]:
        for at in range(0, len(self.records), EVENT_SIZE):
            code = self.records[at]
            layout = EVENTS.get(code)
            if layout is None:
                raise Malformed(f"frame {self.number}, record {at // EVENT_SIZE}: unknown event code {code}")
            yield code, layout.unpack_from(self.records, at)

    def piece(self, offset: int, size: int) -> bytes:
        if offset + size > len(self.tail):
            raise Malformed(
                f"frame {self.number}: offset {offset}, length {size} reach beyond a tail of {len(self.tail)}"
            )
        return bytes(self.tail[offset : offset + size])

    def entries(self, offset: int, count: int) -> list[tuple[Any, ...]]:
        return list(ENTRY.iter_unpack(self.piece(offset, count * ENTRY.size)))


def batches(source: BinaryIO) -> Iterator[Batch]:
    """The simulator's messages, frame by frame, until the input ends."""
    while head := source.read(HEADER.size):
        if len(head) < HEADER.size:
            raise Malformed(f"truncated header: {len(head)} of {HEADER.size} bytes")
        yield Batch(source, head)


class Reply:
    """The actions that answer one batch."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, code: int, *fields: float) -> None:
        self.records.append(ACTIONS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_text(self, code: int, who: int, text: str) -> None:
        data = text.encode()
        self.add(code, who, len(self.tail), len(data))
        self.tail += data

    def frame(self) -> bytes:
        body = b"".join(self.records) + self.tail
        return REPLY.pack(self.number, len(body), len(self.records)) + body
