"""The role of a worker process that runs links."""

import asyncio
import random
from fnmatch import fnmatchcase
from functools import partial

import msgspec

from stoneyoke.lab.addresses import Address
from stoneyoke.lab.datagram_links import DatagramLinks
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.links import Link
from stoneyoke.lab.worker_messages import ChangeLinkFault, Command, LinksSetup, Reply


def return_protocol(protocol: DatagramLinks) -> DatagramLinks:
    """Returns the protocol itself, to serve as the event loop's protocol factory."""
    return protocol


class LinkProcess:
    """Runs a part of the TCP links, and the UDP links that lead to a part of the gateways."""

    def __init__(self, setup: LinksSetup, ledger: LedgerWriter) -> None:
        """Creates the links, but opens no socket."""
        self.ledger = ledger
        self._links = [Link(addresses) for addresses in setup.links]
        senders = {peer.address: peer.gateway for peer in setup.peers}
        self._gateways = list(senders.values())
        self._datagram_links: list[tuple[Address, DatagramLinks]] = [
            (peer.entry, DatagramLinks(peer.gateway, peer.address, senders))
            for peer in setup.peers[setup.index :: setup.processes]
        ]

    async def start(self) -> None:
        """Listens on all links."""
        for link in self._links:
            link.listen()
        loop = asyncio.get_running_loop()
        for entry, links in self._datagram_links:
            await loop.create_datagram_endpoint(partial(return_protocol, links), entry)

    async def execute(self, command: Command) -> Reply | None:
        """Starts or ends a fault on the links that it matches."""
        if isinstance(command, ChangeLinkFault):
            affected = self._affected_links(command)
            for link in affected:
                link.change_fault(command.number, command.fault, command.begins)
            self._change_datagram_links(command)
            self.ledger.add("links", command.fault.kind, command.begins, len(affected))
        return None

    def _affected_links(self, command: ChangeLinkFault) -> list[Link]:
        """Returns the TCP links that match the fault's globs, or a random part of them.

        The random choice depends only on the fault's number, so its start and its end affect the same links.
        """
        links = [
            link
            for link in self._links
            if matches(command, link.addresses.source, link.addresses.destination)
            or matches(command, link.addresses.destination, link.addresses.source)
        ]
        if command.fault.part < 1 and links:
            count = max(1, round(len(links) * command.fault.part))
            return random.Random(command.number).sample(links, count)
        return links

    def _change_datagram_links(self, command: ChangeLinkFault) -> None:
        """Starts or ends a fault on the UDP links that match its globs. Each direction is a separate link."""
        kind = command.fault.kind
        one_way = msgspec.structs.replace(command.fault, kind="cut" if kind.startswith("cut") else kind)
        for _, links in self._datagram_links:
            for sender in self._gateways:
                forth = matches(command, sender, links.gateway) and kind != "cut_back"
                back = matches(command, links.gateway, sender) and kind != "cut_there"
                if forth or back:
                    links.change_fault(command.number, one_way, command.begins, sender)

    async def shut_down(self) -> None:
        """Writes the amount of data that the links received to the ledger, and closes all links and connections."""
        datagram_links = [links for _, links in self._datagram_links]
        for links in datagram_links:
            links.close()
        datagram_bytes = sum(links.bytes_carried for links in datagram_links)
        self.ledger.add("between", datagram_bytes, sum(links.datagrams_carried for links in datagram_links))
        for link in self._links:
            link.close()
            for end in list(link.ends):
                end.abort()
        self.ledger.add("carried", sum(link.bytes_carried for link in self._links))


def matches(command: ChangeLinkFault, source: str, destination: str) -> bool:
    """Whether a fault's globs match a link's source and destination."""
    return fnmatchcase(source, command.source) and fnmatchcase(destination, command.destination)
