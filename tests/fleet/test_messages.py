"""Datagrams: what is sealed comes through; whatever else comes costs a count and no more."""

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from town import KEY, START, record

from stoneyoke.fleet.messages import (
    ENCODER,
    HEAD,
    LARGEST,
    PING,
    SEAL,
    SECOND,
    TOLERANCE,
    WINDOW,
    Entry,
    Message,
    Refused,
    Seal,
)

OTHER = b"another key, as long"


def message(sequence=1, at=START, name="g1", life=5, **more):
    return Message(record(name, life=life), sequence, at, PING, 7, **more)


def refusal(seal, data, now=START):
    with pytest.raises(Refused) as refused:
        seal.open(data, now)
    return str(refused.value)


def test_what_is_sealed_is_read_as_it_was():
    sent = message(members=[record("y")], entries=[Entry(2**32 - 1, 3, 1, 4, 65_535, 12)])
    assert Seal([KEY]).open(Seal([KEY]).close(sent), START) == sent


@pytest.mark.parametrize(
    "spoil, why",
    [
        (lambda d: d[:-1] + bytes((d[-1] ^ 1,)), "forged"),
        (lambda d: d[:30], "forged"),
        (lambda d: d[:HEAD], "cut"),
        (lambda d: b"", "cut"),
        (lambda d: d + bytes(LARGEST), "oversized"),
        (lambda d: b"\x02" + d[1:], "of another version"),
        (lambda d: d[:1] + bytes((d[1] ^ 1,)) + d[2:], "of an unknown key"),
    ],
)
def test_what_is_spoilt_is_refused(spoil, why):
    assert refusal(Seal([KEY]), spoil(Seal([KEY]).close(message()))) == why


def test_a_message_of_another_key_is_refused_until_the_keys_are_exchanged_step_by_step():
    old, new = Seal([KEY]), Seal([KEY])
    new.renew([KEY, OTHER])
    old.open(new.close(message(1)), START)
    old.renew([KEY, OTHER])
    new.renew([OTHER, KEY])
    old.open(new.close(message(2)), START)
    new.open(old.close(message(3, name="g2")), START)
    new.renew([OTHER])
    assert refusal(new, old.close(message(4, name="g2"))) == "of an unknown key"


@pytest.mark.parametrize("keys", [[], [KEY] * 3, [b"short"], [bytes(65)]])
def test_keys_that_cannot_be_used_are_told(keys):
    with pytest.raises(ValueError, match="one or two keys"):
        Seal(keys)


def test_replays_and_earlier_lives_are_refused_and_overtaking_is_not():
    mine, seal = Seal([KEY]), Seal([KEY])

    def sent(number, life=5):
        return mine.close(message(number, life=life))

    seal.open(sent(2), START)
    seal.open(sent(1), START)
    assert refusal(seal, sent(1)) == "replayed" == refusal(seal, sent(2))
    seal.open(sent(165), START)
    seal.open(sent(165 - WINDOW + 1), START)
    assert refusal(seal, sent(165 - WINDOW)) == "replayed" == refusal(seal, sent(165 - WINDOW + 1))
    seal.open(sent(1, life=6), START)
    with pytest.raises(Refused, match="earlier life") as refused:
        seal.open(sent(166), START)
    assert refused.value.message.sender.life == 5


def test_a_recorded_message_is_of_no_use_later_and_a_clock_two_seconds_off_is_borne():
    data = Seal([KEY]).close(message())
    assert refusal(Seal([KEY]), data, START + TOLERANCE + 1) == "out of time"
    assert refusal(Seal([KEY]), data, START - TOLERANCE - 1) == "out of time"
    Seal([KEY]).open(data, START - 2 * SECOND)


def test_what_is_known_of_senders_does_not_grow():
    seal = Seal([KEY])
    for n in range(500):
        seal.open(Seal([KEY]).close(message(name=f"g{n}", at=START + n * SECOND)), START + n * SECOND)
        seal.sweep(START + n * SECOND)
    assert len(seal.lives) <= 40


def sealed(body):
    seal = Seal([KEY])
    return bytes((1, seal.first)) + seal.hash(KEY, body) + body


def test_what_a_later_version_adds_is_passed_over():
    rows = msgspec.to_builtins(message())
    rows[0].append("more of a member")
    assert Seal([KEY]).open(sealed(ENCODER.encode([*rows, {"new": 1}])), START).number == 7


@given(st.binary(max_size=LARGEST + 50))
@settings(derandomize=True, deadline=None)
def test_bytes_of_any_kind_are_refused_or_read(data):
    for whole in (data, sealed(data), sealed(ENCODER.encode([record(), 1, START, 0])[:-1] + data)):
        with contextlib.suppress(Refused):
            Seal([KEY]).open(whole, START)


def test_a_body_of_nested_arrays_ends_in_a_count():
    assert refusal(Seal([KEY]), sealed(b"\x91" * 1000)) == "unreadable"
    assert refusal(Seal([KEY]), sealed(b"\xdd\xff\xff\xff\xff")) == "unreadable"
    assert SEAL == 16


def test_a_message_too_large_is_never_sealed():
    with pytest.raises(ValueError, match="a message of"):
        Seal([KEY]).close(message(members=[record("n" * 60)] * 30))
