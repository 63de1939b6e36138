"""The current codec unpacks messages of an earlier release to the same values, and packs these to the same bytes."""

from ward import each, test

from compatibility.recorded_messages import RecordedFrame, recorded_frames, recorded_values
from stoneyoke.transport.messages import KINDS, Message, pack, unpack
from stoneyoke.transport.messages.codec import LENGTH_BYTES

FRAMES = recorded_frames()
VALUES = recorded_values()
EACH_FRAME = each(*FRAMES)
EACH_VALUE = each(*VALUES)


@test("the recording contains every kind of message")
def _() -> None:
    assert len(FRAMES) == len(VALUES)
    assert {frame.kind for frame in FRAMES} == {kind.__name__ for kind in KINDS}


@test("the current codec unpacks a recorded {frame.kind} to the same value and packs that to the same bytes")
def _(frame: RecordedFrame = EACH_FRAME, value: Message = EACH_VALUE) -> None:
    assert type(value).__name__ == frame.kind
    assert unpack(frame.data[LENGTH_BYTES:]) == (frame.call_number, value)
    assert pack(frame.call_number, value) == frame.data


@test("each field of a message and of its rows is unpacked under its own name, not only at its position")
def _() -> None:
    for frame, value in zip(FRAMES, VALUES, strict=True):
        assert repr(unpack(frame.data[LENGTH_BYTES:])[1]) == repr(value)
