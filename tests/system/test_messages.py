import msgpack
from ward import test

from stoneyoke.transport.messages import (
    KINDS,
    AcceptRequest,
    AcceptResponse,
    ChosenNotice,
    ChosenNoticeResponse,
    FetchRequest,
    FetchResponse,
    InstanceRefresh,
    InstanceUpdate,
    InstanceUpdateResponse,
    LeaseRequest,
    LeaseResponse,
    MalformedMessage,
    PrepareRequest,
    PrepareResponse,
    PullRequest,
    PullResponse,
    QueryRequest,
    QueryResponse,
    QuotaRequest,
    QuotaResponse,
    ValueRequest,
    ValueResponse,
    pack,
    unpack,
)

ROW = ("i-1", "10.0.0.1:80", "tide", "east", "v1", 2, 0, 7, 1.5)
VALUE = (2, [("10.0.0.1", "first")], [("10.0.0.2", "5e")], (3, b"x"), b"{}")
EXAMPLES = [
    PullRequest("edge-1", "10.0.0.1", "gateway", "east", "ab", 4, (3, b"x"), True, False, 400, "cd", 3),
    PullResponse(
        "ab",
        9,
        True,
        [ROW],
        ("10.0.0.1", "first"),
        (4, "10.0.0.1/ab"),
        VALUE,
        (3, "10.0.0.1/ab"),
        (3, b"x"),
        True,
        "10.0.0.1",
        False,
        "east",
        4,
        ["10.0.0.2"],
        ["edge-1"],
    ),
    FetchRequest(),
    FetchResponse((3, b"x"), b"{}"),
    PrepareRequest((4, "10.0.0.1/ab"), (3, "10.0.0.2/cd")),
    PrepareResponse(True, ("10.0.0.1", "first"), (4, "10.0.0.1/ab"), True, (3, "10.0.0.2/cd"), VALUE),
    AcceptRequest((4, "10.0.0.1/ab"), VALUE),
    AcceptResponse(True, ("10.0.0.1", "first"), (4, "10.0.0.1/ab")),
    QueryRequest(),
    QueryResponse(("10.0.0.1", "first"), True, (3, "10.0.0.2/cd"), VALUE),
    ChosenNotice("10.0.0.1", (4, "10.0.0.1/ab")),
    ChosenNoticeResponse(),
    ValueRequest((4, "10.0.0.1/ab")),
    ValueResponse(True, True, (4, "10.0.0.1/ab"), VALUE),
    InstanceUpdate([ROW]),
    InstanceRefresh([("i-1", 8)]),
    InstanceUpdateResponse(),
    LeaseRequest("quotas", "a", "b", 1600, 3, 1),
    LeaseResponse(True, "a", 900, 1, ("10.0.0.1", "first")),
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
