"""Messages to be sent. No I/O."""

from dataclasses import dataclass

from stoneyoke.fleet.messages import Address, Member, MessageKind


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingMessage:
    """A message to be sent. The agent adds sender, sequence number, time, gossip and reports."""

    to: Address
    kind: MessageKind
    number: int = 0
    subject: str = ""
    members: tuple[Member, ...] = ()
    bucket_digests: tuple[int, ...] = ()


class Outbox:
    """Collects the messages that the parts of the membership send, in order."""

    def __init__(self) -> None:
        """Starts empty."""
        self._messages: list[OutgoingMessage] = []

    def add(self, message: OutgoingMessage) -> None:
        """Appends a message."""
        self._messages.append(message)

    def take(self) -> list[OutgoingMessage]:
        """Removes and returns all messages."""
        messages, self._messages = self._messages, []
        return messages
