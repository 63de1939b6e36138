"""The newest chosen configuration at this controller: parsed, and compressed for gateways."""

import zlib
from collections.abc import Iterable, Mapping
from typing import Any

from loguru import logger

from stoneyoke.api.configuration import Configuration, Version, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.message_rows import version_row
from stoneyoke.consensus.register_value import Proposal
from stoneyoke.consensus.replica import Replica
from stoneyoke.transport.messages import FetchResponse

COMPRESSION_LEVEL = 6


class ChosenConfiguration:
    """Follows the replica's chosen value."""

    def __init__(self) -> None:
        """Starts without a configuration."""
        self.configuration: Configuration | None = None
        self._compressed_ballot: Ballot = NO_BALLOT
        self._compressed_body = b""

    def update(self, chosen: Proposal) -> None:
        """Parses a newly chosen value, if its configuration is another one."""
        if not chosen.value.body or chosen.value.version == self.version():
            return
        try:
            self.configuration = read_configuration(chosen.value.body)
        except InvalidField as error:
            logger.error(
                "the chosen configuration {} can't be read, the one before stays: {}", chosen.value.version, error
            )

    def version(self) -> Version:
        """Of the parsed configuration; the zero version if there is none."""
        return self.configuration.version if self.configuration else Version()

    def tenants(self) -> Iterable[Mapping[str, Any]]:
        """The tenants of the parsed configuration, the same object until it changes."""
        if self.configuration is None:
            return []
        return self.configuration.tenants or []

    def handle_fetch(self, replica: Replica) -> FetchResponse:
        """The chosen configuration's text, compressed once for each chosen value."""
        chosen = replica.chosen
        if chosen is None:
            return FetchResponse(version=version_row(Version()), body=b"")
        if self._compressed_ballot != chosen.ballot or not self._compressed_body:
            self._compressed_ballot = chosen.ballot
            self._compressed_body = zlib.compress(chosen.value.body, COMPRESSION_LEVEL)
        return FetchResponse(version=version_row(chosen.value.version), body=self._compressed_body)
