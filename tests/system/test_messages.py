import msgpack
from ward import test

from stoneyoke.transport.messages import (
    KINDS,
    InstanceRefresh,
    FetchResponse,
    LeaseRequest,
    QuotaRequest,
    QuotaResponse,
    FetchRequest,
    MalformedMessage,
    LeaseResponse,
    StoreRequest,
    StoreResponse,
    Muster,
    Mustered,
    PullResponse,
    PullRequest,
    InstanceUpdate,
    InstanceUpdateResponse,
    pack,
    unpack,
)

ROW = ("i-1", "10.0.0.1:80", "tide", "east", "v1", 2, 0, 7, 1.5)
EXAMPLES = [
    PullRequest("edge-1", "10.0.0.1", "gateway", "east", "ab", 4, (3, b"x"), True, False, 400, "cd", 3),
    PullResponse(
        "ab",
        9,
        True,
        [ROW],
        (3, b"x"),
        True,
        True,
        1,
        ["10.0.0.1"],
        "10.0.0.1",
        False,
        "east",
        4,
        ["10.0.0.2"],
        ["edge-1"],
    ),
    FetchRequest(),
    FetchResponse((3, b"x"), b"{}"),
    StoreRequest(1, (3, b"x"), b"{}"),
    StoreResponse((3, b"x"), 1, True),
    InstanceUpdate([ROW]),
    InstanceRefresh([("i-1", 8)]),
    InstanceUpdateResponse(),
    Muster("accept", 2, (1, "a"), ["a"]),
    Mustered(True, 1, ["a"], (1, "a"), (0, ""), [], (3, b"x")),
    LeaseRequest("quotas", "a", "b", 1600, 3),
    LeaseResponse(True, "a", 900, 1, True),
    QuotaRequest("edge-1", "ab", 20, True, [("anna", 2.0, 3.0, 0.0, 0.5)]),
    QuotaResponse(True, [("anna", 1.0, 0.0, 0.25, 3.0)]),
]


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
