import msgpack
from ward import test

from compatibility.recorded_messages import recorded_values

from stoneyoke.transport.messages import KINDS, MalformedMessage, pack, unpack

EXAMPLES = recorded_values()[: len(KINDS)]


@test("every kind of message comes back as it was sent")
def _():
    assert {type(one) for one in EXAMPLES} == set(KINDS)
    for at, one in enumerate(EXAMPLES):
        assert unpack(pack(at, one)[4:]) == (at, one)


@test("no mutation of one message raises anything but MalformedMessage")
def _():
    garbled = 0
    for one in EXAMPLES:
        body = pack(5, one)[4:]
        for spot in range(len(body)):
            for wrong in (
                body[:spot],
                body[:spot] + bytes([body[spot] ^ 0x81]) + body[spot + 1 :],
                body[:spot] + b"\xc0" + body[spot + 1 :],
            ):
                try:
                    unpack(wrong)
                except MalformedMessage:
                    garbled += 1
    assert garbled > 500


@test("a value of another type, a missing one and one too many are garbled")
def _():
    for one in EXAMPLES:
        tag, number, *values = msgpack.unpackb(pack(5, one)[4:])
        for at in range(len(values)):
            for wrong in (None, 3.5, {}, -(1 << 63), "x" if not isinstance(values[at], str) else 3, [[1]]):
                if isinstance(values[at], float) and isinstance(wrong, float):
                    continue
                mutated = [tag, number, *values[:at], wrong, *values[at + 1 :]]
                try:
                    unpack(msgpack.packb(mutated))
                except MalformedMessage:
                    continue
                raise AssertionError((one, at, wrong))
        for mutated in ([tag, number, *values, 1], [tag, number, *values[:-1]] if values else [99, 0]):
            try:
                unpack(msgpack.packb(mutated))
            except MalformedMessage:
                continue
            raise AssertionError(mutated)
