"""Datagrams that are authentic, current and no replays are decoded; all others are refused with a reason."""

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_cluster import KEY, START_US, member_record

from stoneyoke.fleet.datagram_codec import (
    CLOCK_TOLERANCE_US,
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    REPLAY_WINDOW,
    SECOND_US,
    SIGNATURE_BYTES,
    DatagramCodec,
)
from stoneyoke.fleet.errors import DatagramRefused
from stoneyoke.fleet.messages import MESSAGE_ENCODER, BackendReport, Message, MessageKind

OTHER = b"another key, as long"


def message(sequence=1, at=START_US, name="g1", started_at_ms=5, **more):
    return Message(member_record(name, started_at_ms=started_at_ms), sequence, at, MessageKind.PING, 7, **more)


def refusal(codec, data, now=START_US):
    with pytest.raises(DatagramRefused) as refused:
        codec.decode(data, now)
    return str(refused.value)


def test_a_message_survives_encoding_and_decoding():
    sent = message(members=[member_record("y")], reports=[BackendReport(2**32 - 1, 3, 1, 4, 65_535, 12)])
    assert DatagramCodec([KEY]).decode(DatagramCodec([KEY]).encode(sent), START_US) == sent


@pytest.mark.parametrize(
    "corrupt, reason",
    [
        (lambda d: d[:-1] + bytes((d[-1] ^ 1,)), "forged"),
        (lambda d: d[:30], "forged"),
        (lambda d: d[:HEADER_BYTES], "cut"),
        (lambda d: b"", "cut"),
        (lambda d: d + bytes(MAX_DATAGRAM_BYTES), "oversized"),
        (lambda d: b"\x02" + d[1:], "of another version"),
        (lambda d: d[:1] + bytes((d[1] ^ 1,)) + d[2:], "of an unknown key"),
    ],
)
def test_a_corrupted_datagram_is_refused_with_its_reason(corrupt, reason):
    assert refusal(DatagramCodec([KEY]), corrupt(DatagramCodec([KEY]).encode(message()))) == reason


def test_keys_are_replaced_step_by_step_and_the_old_one_is_then_refused():
    old, new = DatagramCodec([KEY]), DatagramCodec([KEY])
    new.set_keys([KEY, OTHER])
    old.decode(new.encode(message(1)), START_US)
    old.set_keys([KEY, OTHER])
    new.set_keys([OTHER, KEY])
    old.decode(new.encode(message(2)), START_US)
    new.decode(old.encode(message(3, name="g2")), START_US)
    new.set_keys([OTHER])
    assert refusal(new, old.encode(message(4, name="g2"))) == "of an unknown key"


@pytest.mark.parametrize("keys", [[], [KEY] * 3, [b"short"], [bytes(65)]])
def test_unusable_keys_are_rejected(keys):
    with pytest.raises(ValueError, match="one or two keys"):
        DatagramCodec(keys)


def test_replays_and_superseded_senders_are_refused_and_reordering_is_not():
    encoder, codec = DatagramCodec([KEY]), DatagramCodec([KEY])

    def sent(number, started_at_ms=5):
        return encoder.encode(message(number, started_at_ms=started_at_ms))

    codec.decode(sent(2), START_US)
    codec.decode(sent(1), START_US)
    assert refusal(codec, sent(1)) == "replayed" == refusal(codec, sent(2))
    codec.decode(sent(165), START_US)
    codec.decode(sent(165 - REPLAY_WINDOW + 1), START_US)
    assert refusal(codec, sent(165 - REPLAY_WINDOW)) == "replayed" == refusal(codec, sent(165 - REPLAY_WINDOW + 1))
    codec.decode(sent(1, started_at_ms=6), START_US)
    with pytest.raises(DatagramRefused, match="earlier life") as refused:
        codec.decode(sent(166), START_US)
    assert refused.value.superseded.sender.started_at_ms == 5


def test_an_old_message_is_refused_and_a_clock_off_by_two_seconds_is_tolerated():
    data = DatagramCodec([KEY]).encode(message())
    assert refusal(DatagramCodec([KEY]), data, START_US + CLOCK_TOLERANCE_US + 1) == "out of time"
    assert refusal(DatagramCodec([KEY]), data, START_US - CLOCK_TOLERANCE_US - 1) == "out of time"
    DatagramCodec([KEY]).decode(data, START_US - 2 * SECOND_US)


def test_the_number_of_replay_windows_is_bounded():
    codec = DatagramCodec([KEY])
    for n in range(500):
        codec.decode(
            DatagramCodec([KEY]).encode(message(name=f"g{n}", at=START_US + n * SECOND_US)), START_US + n * SECOND_US
        )
        codec.remove_silent_senders(START_US + n * SECOND_US)
    assert len(codec.windows) <= 40


def authenticated(body):
    codec = DatagramCodec([KEY])
    return bytes((1, codec.first_key_id)) + codec.signature(KEY, body) + body


def test_fields_of_a_later_version_are_ignored():
    rows = msgspec.to_builtins(message())
    rows[0].append("more of a member")
    assert DatagramCodec([KEY]).decode(authenticated(MESSAGE_ENCODER.encode([*rows, {"new": 1}])), START_US).number == 7


@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 50))
@settings(derandomize=True, deadline=None)
def test_arbitrary_bytes_are_refused_or_decoded(data):
    for whole in (
        data,
        authenticated(data),
        authenticated(MESSAGE_ENCODER.encode([member_record(), 1, START_US, 0])[:-1] + data),
    ):
        with contextlib.suppress(DatagramRefused):
            DatagramCodec([KEY]).decode(whole, START_US)


def test_deeply_nested_or_huge_arrays_are_refused():
    assert refusal(DatagramCodec([KEY]), authenticated(b"\x91" * 1000)) == "unreadable"
    assert refusal(DatagramCodec([KEY]), authenticated(b"\xdd\xff\xff\xff\xff")) == "unreadable"
    assert SIGNATURE_BYTES == 16


def test_a_message_too_large_for_a_datagram_is_not_encoded():
    with pytest.raises(ValueError, match="a message of"):
        DatagramCodec([KEY]).encode(message(members=[member_record("n" * 60)] * 30))
