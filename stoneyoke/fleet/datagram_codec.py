"""Encoding of messages as datagrams, with authentication by a keyed hash and protection against replays. No I/O.

A datagram is one byte of format version, one byte of key id, the keyed hash of the message, and the message in msgpack.
Sequence numbers and the sender's time detect replays.
"""

import hmac
from hashlib import blake2b

import msgspec

from stoneyoke.fleet.errors import DatagramRefused, MessageTooLarge, RefusalReason, UnusableKeys
from stoneyoke.fleet.messages import MESSAGE_DECODER, MESSAGE_ENCODER, Message

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1_200  # below the MTU of all common links, so datagrams are not fragmented
SIGNATURE_BYTES = 16
HEADER_BYTES = 2 + SIGNATURE_BYTES
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS = 2

SECOND_US = 1_000_000
# Maximum sum of the difference of two clocks and the delay of a datagram. A process that was suspended reads the
# datagrams that arrived in the meantime late.
CLOCK_TOLERANCE_US = 10 * SECOND_US
SENDER_LIFETIME_US = 3 * CLOCK_TOLERANCE_US
# Sequence numbers less than this far below the highest one are accepted, because the network may reorder datagrams.
REPLAY_WINDOW = 64


class ReplayWindow:
    """The sequence numbers received from one process of a sender: the highest, and a bitmap of those below it."""

    def __init__(self, started_at_ms: int) -> None:
        """Starts without any received number.

        Args:
            started_at_ms: Start time of the sender's process, Unix time.
        """
        self.started_at_ms = started_at_ms
        self.highest = -1
        self.bitmap = 0  # bit n is set if the number `highest - n` was received
        self.received_at_us = 0

    def accept(self, sequence: int) -> bool:
        """Records a sequence number. Returns false if it was received before or lies below the window."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.bitmap = (self.bitmap << min(ahead, REPLAY_WINDOW) | 1) & (1 << REPLAY_WINDOW) - 1
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.bitmap & bit:
            return False
        self.bitmap |= bit
        return True


class DatagramCodec:
    """Encodes with the first key, decodes with any key, and refuses replays.

    To replace a key, every gateway first gets the new one as its second key, then as its first, and then drops the old
    one. At each step every gateway can decode the datagrams of all others.
    """

    def __init__(self, keys: list[bytes]) -> None:
        """Starts with these keys; see set_keys."""
        self.set_keys(keys)
        self.windows: dict[str, ReplayWindow] = {}  # by the sender's name; pruned by remove_silent_senders

    def set_keys(self, keys: list[bytes]) -> None:
        """Replaces the keys.

        Args:
            keys: One or two keys of 16 to 64 bytes each, the one to encode with first.

        Raises:
            UnusableKeys: The number or the length of the keys is out of bounds.
        """
        lengths_fit = all(MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys)
        if not 1 <= len(keys) <= MAX_KEYS or not lengths_fit:
            raise UnusableKeys("one or two keys of 16 to 64 bytes are needed")
        self.keys = {self.key_id(key): key for key in keys}
        self.first_key_id = self.key_id(keys[0])

    @staticmethod
    def key_id(key: bytes) -> int:
        """Returns one byte of the key's hash. Of two keys with the same id only the one given last is used."""
        return blake2b(key, digest_size=1, person=b"key number").digest()[0]

    @staticmethod
    def signature(key: bytes, body: bytes) -> bytes:
        """Returns the keyed hash that authenticates an encoded message."""
        return blake2b(body, key=key, digest_size=SIGNATURE_BYTES).digest()

    def encode(self, message: Message) -> bytes:
        """Encodes and authenticates a message.

        Raises:
            MessageTooLarge: The datagram would exceed MAX_DATAGRAM_BYTES.
        """
        body = MESSAGE_ENCODER.encode(message)
        if len(body) + HEADER_BYTES > MAX_DATAGRAM_BYTES:
            raise MessageTooLarge(len(body))
        header = bytes((FORMAT_VERSION, self.first_key_id))
        return header + self.signature(self.keys[self.first_key_id], body) + body

    def decode(self, data: bytes, now_us: int) -> Message:
        """Verifies and decodes a datagram.

        A datagram that is not authentic costs at most one hash over MAX_DATAGRAM_BYTES.

        Raises:
            DatagramRefused: The datagram is not authentic, not current, or a replay.
        """
        body = self._authentic_body(data)
        try:
            message = MESSAGE_DECODER.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise DatagramRefused(RefusalReason.MALFORMED) from error
        if abs(message.sent_at_us - now_us) > CLOCK_TOLERANCE_US:
            raise DatagramRefused(RefusalReason.OUT_OF_TIME)
        self._check_replay(message, now_us)
        return message

    def _authentic_body(self, data: bytes) -> bytes:
        """Returns the encoded message of an authentic datagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRefused(RefusalReason.OVERSIZED)
        if len(data) <= HEADER_BYTES:
            raise DatagramRefused(RefusalReason.TRUNCATED)
        if data[0] != FORMAT_VERSION:
            raise DatagramRefused(RefusalReason.UNSUPPORTED_VERSION)
        key = self.keys.get(data[1])
        if key is None:
            raise DatagramRefused(RefusalReason.UNKNOWN_KEY)
        body = data[HEADER_BYTES:]
        if not hmac.compare_digest(self.signature(key, body), data[2:HEADER_BYTES]):
            raise DatagramRefused(RefusalReason.BAD_SIGNATURE)
        return body

    def _check_replay(self, message: Message, now_us: int) -> None:
        """Refuses replays, and messages of a process that a later one of the same name has superseded."""
        sender = message.sender
        window = self.windows.get(sender.name)
        if window is None or sender.started_at_ms > window.started_at_ms:
            window = self.windows[sender.name] = ReplayWindow(sender.started_at_ms)
        elif sender.started_at_ms < window.started_at_ms:
            raise DatagramRefused(RefusalReason.SUPERSEDED_SENDER, superseded=message)
        if not window.accept(message.sequence):
            raise DatagramRefused(RefusalReason.REPLAYED)
        window.received_at_us = now_us

    def remove_silent_senders(self, now_us: int) -> None:
        """Removes the replay windows of senders that were silent for SENDER_LIFETIME_US.

        A replay of their datagrams is refused anyway, because its time is older than CLOCK_TOLERANCE_US.
        """
        self.windows = {
            name: window
            for name, window in self.windows.items()
            if now_us - window.received_at_us <= SENDER_LIFETIME_US
        }
