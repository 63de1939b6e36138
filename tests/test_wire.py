"""The simulator's wire protocol: hand-written frames, well-formed and malformed."""

import io
import json
import struct

import pytest

from stoneyoke.simhost.errors import MalformedFrame
from stoneyoke.simhost.host import serve

START = {
    "balancers": 1,
    "self-index": 0,
    "zone": 0,
    "discovery": "automatic",
    "new-key": [1],
    "caps": {"cancel": True, "try-limit": 5},
    "extra": {"units-top": 1, "has-counter": False},
    "rules": {"cold-from": 0.2, "ramp-time-us": 1, "overload-factor": 2.0, "overload-for-us": 1},
    "classes": [{"effect": "idempotent", "aim-us": 1000000, "deadline-us": 2000000, "gain": 1.0, "name": "a"}],
    "tariffs": [
        {
            "units-per-s": 2.0,
            "depth": 4.0,
            "worth-factor": 1.0,
            "beyond-earns": 0.0,
            "overrun-cost": 0.0,
            "parallel": 0,
            "cap-rate": 0.0,
            "cap-depth": 0.0,
        }
    ],
}


def frame(records, tail=b"", number=1, clock=5_000_000):
    body = b"".join(r.ljust(40, b"\0") for r in records) + tail
    return struct.pack("<IIQI", number, len(body), clock, len(records)) + body


def spawn(start=START):
    text = json.dumps(start).encode()
    entry = struct.pack("<HHHfIQB", 0, 0, 0, 1.0, 77, 0, 0)
    return frame(
        [
            struct.pack("<BHQII", 1, 3, 9, 0, len(text)),
            struct.pack("<BIII", 12, 0, len(text), 1),
            struct.pack("<BHBQI", 2, 3, 2, 1, 0),
        ],
        text + entry,
    )


def arrival(units=1.0):
    return struct.pack("<BHIHIQIfffB", 3, 3, 0xABCD, 0, 0, 2**33 - 1, 500_000, units, 1.0, 0.0, 0)


def replies(data):
    sink = io.BytesIO()
    serve(io.BytesIO(data), sink)
    out, at, raw = [], 0, sink.getvalue()
    while at < len(raw):
        number, size, count = struct.unpack_from("<III", raw, at)
        body = raw[at + 12 : at + 12 + size]
        out.append((number, [body[i * 24 : i * 24 + 24] for i in range(count)], body[count * 24 :]))
        at += 12 + size
    return out


def test_an_rpc_is_forwarded_and_one_over_quota_rejected():
    _, (number, records, _) = replies(spawn() + frame([arrival()], number=2))
    assert number == 2 and struct.unpack_from("<BHII", records[-1]) == (1, 3, 0xABCD, 77)
    _, (_, records, _) = replies(spawn() + frame([arrival(units=9.0)], number=2))
    assert struct.unpack_from("<BHI", records[-1]) == (2, 3, 0xABCD)


def test_an_empty_batch_gets_an_empty_reply():
    assert replies(frame([])) == [(1, [], b"")]


@pytest.mark.parametrize(
    "data, message",
    [
        (frame([])[:9], "truncated header"),
        (spawn()[:-5], "truncated frame 1"),
        (frame([b"\x63"]), "record 0: unknown event code 99"),
        (frame([struct.pack("<BIII", 12, 0, 400, 2)]), "beyond a tail"),
        (struct.pack("<IIQI", 1, 40, 0, 2) + bytes(40), "2 records don't fit"),
    ],
)
def test_malformed_frames_raise_an_error_that_names_the_problem(data, message):
    with pytest.raises(MalformedFrame, match=message):
        replies(data)


@pytest.mark.parametrize("broken", [{"tariffs": None}, {"balancers": 0}, {"classes": [{"effect": "odd"}]}])
def test_an_invalid_start_message_is_reported_with_its_field(broken):
    _, records, tail = replies(spawn(START | broken))[0]
    assert records[0][0] == 10 and repr(next(iter(broken))).strip("'") in tail.decode() or b"effect" in tail


def test_an_exception_in_the_decision_logic_is_reported_with_its_text():
    no_such_method = struct.pack("<BHIHIQIfffB", 3, 3, 0xABCD, 9, 0, 5, 500_000, 1.0, 1.0, 0.0, 0)
    _, (_, records, tail) = replies(spawn() + frame([no_such_method], number=2))
    assert records[-1][0] == 10 and b"IndexError" in tail
