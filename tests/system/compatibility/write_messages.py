"""Writes the messages of an earlier release, in a checkout of it: see README.md."""

# mypy: ignore-errors
# The messages are built with positional arguments, as in that release.

import sys
from pathlib import Path

from stoneyoke.transport import messages

INSTANCE = ("i-1", "10.0.0.1:80", "tide", "east", "v1", 2, 0, 7, 1.5)
GONE_INSTANCE = ("é-2", "0.0.0.0:1", "", "", "", 0, 3, 1 << 40, 0.0)
VALUE = (2, [("10.0.0.1", "first")], [("10.0.0.2", "5e")], (3, b"x"), b"{}")
EMPTY_VALUE = (0, [], [], (0, b""), b"")
ONE_OF_EACH_KIND = [
    messages.PullRequest("edge-1", "10.0.0.1", "gateway", "east", "ab", 4, (3, b"x"), True, False, 400, "cd", 3),
    messages.PullResponse(
        "ab",
        9,
        True,
        [INSTANCE],
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
    messages.FetchRequest(),
    messages.FetchResponse((3, b"x"), b"{}"),
    messages.PrepareRequest((4, "10.0.0.1/ab"), (3, "10.0.0.2/cd")),
    messages.PrepareResponse(True, ("10.0.0.1", "first"), (4, "10.0.0.1/ab"), True, (3, "10.0.0.2/cd"), VALUE),
    messages.AcceptRequest((4, "10.0.0.1/ab"), VALUE),
    messages.AcceptResponse(True, ("10.0.0.1", "first"), (4, "10.0.0.1/ab")),
    messages.QueryRequest(),
    messages.QueryResponse(("10.0.0.1", "first"), True, (3, "10.0.0.2/cd"), VALUE),
    messages.ChosenNotice("10.0.0.1", (4, "10.0.0.1/ab")),
    messages.ChosenNoticeResponse(),
    messages.ValueRequest((4, "10.0.0.1/ab")),
    messages.ValueResponse(True, True, (4, "10.0.0.1/ab"), VALUE),
    messages.InstanceUpdate([INSTANCE]),
    messages.InstanceRefresh([("i-1", 8)]),
    messages.InstanceUpdateResponse(),
    messages.LeaseRequest("quotas", "a", "b", 1600, 3, 1),
    messages.LeaseResponse(True, "a", 900, 1, ("10.0.0.1", "first")),
    messages.QuotaRequest("edge-1", "ab", 20, True, [("anna", 2.0, 3.0, 0.0, 0.5)]),
    messages.QuotaResponse(True, [("anna", 1.0, 0.0, 0.25, 3.0)]),
]
EDGE_CASES = [
    messages.PullRequest("c-2", "10.0.0.2", "controller", "", "", 0, (0, b""), False, True, 0, "", -1),
    messages.PullResponse(
        "",
        0,
        False,
        [INSTANCE, GONE_INSTANCE],
        ("", ""),
        (0, ""),
        EMPTY_VALUE,
        (0, ""),
        (0, b""),
        False,
        "",
        True,
        "",
        -1,
        [],
        [],
    ),
    messages.FetchResponse((0, b""), b"\x00\xff" * 200),
    messages.PrepareRequest((0, ""), (0, "")),
    messages.PrepareResponse(False, ("", ""), (0, ""), False, (0, ""), EMPTY_VALUE),
    messages.AcceptRequest((1 << 40, "p"), EMPTY_VALUE),
    messages.AcceptResponse(False, ("", ""), (0, "")),
    messages.QueryResponse(("", ""), False, (0, ""), EMPTY_VALUE),
    messages.ChosenNotice("", (0, "")),
    messages.ValueRequest((0, "")),
    messages.ValueResponse(False, False, (0, ""), EMPTY_VALUE),
    messages.InstanceUpdate([]),
    messages.InstanceRefresh([("i-1", 1 << 40), ("é-2", 0)]),
    messages.InstanceUpdateResponse(False),
    messages.LeaseRequest("", "", "", 0, 0, -1),
    messages.LeaseResponse(False, "", 0, 0, ("", "")),
    messages.QuotaRequest("", "", 60000, False, []),
    messages.QuotaResponse(False, []),
]


def main() -> None:
    """Writes one frame per line: the kind of message, the number of the call, the bytes."""
    recording = Path(sys.argv[1])
    lines = []
    for number, message in enumerate([*ONE_OF_EACH_KIND, *EDGE_CASES], 1):
        data = messages.pack(number, message)
        assert messages.unpack(data[4:]) == (number, message)
        lines.append(f"{type(message).__name__} {number} {data.hex()}")
    recording.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
