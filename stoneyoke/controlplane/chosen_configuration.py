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
    """The parsed and the compressed configuration of the replica's chosen value."""

    def __init__(self) -> None:
        """Starts without a configuration."""
        self.configuration: Configuration | None = None
        self._compressed_ballot: Ballot = NO_BALLOT
        self._compressed_body = b""

    def update(self, chosen: Proposal) -> None:
        """Parses the configuration of a newly chosen value, if it has another version."""
        if not chosen.value.body or chosen.value.version == self.version():
            return
        try:
            self.configuration = read_configuration(chosen.value.body)
        except InvalidField as error:
            logger.error(
                "the chosen configuration {} is invalid, the previous one stays in use: {}", chosen.value.version, error
            )

    def version(self) -> Version:
        """Returns the version of the parsed configuration; the zero version if there is none."""
        return self.configuration.version if self.configuration else Version()

    def tenants(self) -> Iterable[Mapping[str, Any]]:
        """Returns the tenants of the parsed configuration, as the same object until the configuration changes."""
        if self.configuration is None:
            return []
        return self.configuration.tenants or []

    def handle_fetch(self, replica: Replica) -> FetchResponse:
        """Returns the chosen configuration's text, which is compressed once for each chosen value."""
        chosen = replica.chosen
        if chosen is None:
            return FetchResponse(version=version_row(Version()), body=b"")
        if self._compressed_ballot != chosen.ballot or not self._compressed_body:
            self._compressed_ballot = chosen.ballot
            self._compressed_body = zlib.compress(chosen.value.body, COMPRESSION_LEVEL)
        return FetchResponse(version=version_row(chosen.value.version), body=self._compressed_body)
