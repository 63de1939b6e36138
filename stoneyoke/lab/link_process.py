"""The links that one process carries, and the faults that strike them."""

import asyncio
import random
from fnmatch import fnmatchcase
from functools import partial
from typing import Any

from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.links import Datagrams, Link


def same(peer: Datagrams) -> Datagrams:
    """What the event loop asks for a protocol: this one."""
    return peer


class Links:
    """The links that one process carries."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.ledger = ledger
        self.links = [Link(start, end, tuple(entry), tuple(to)) for start, end, entry, to in given["links"]]
        senders = {tuple(address): name for name, address, _ in given["peers"]}
        self.peers = [
            (tuple(entry), Datagrams(name, tuple(address), senders))
            for name, address, entry in given["peers"][given["at"] :: given["of"]]
        ]
        self.names = list(senders.values())

    async def start(self) -> None:
        for link in self.links:
            link.listen()
        for entry, peer in self.peers:
            await asyncio.get_running_loop().create_datagram_endpoint(partial(same, peer), entry)

    def order(self, order: dict[str, Any]) -> Any:
        if order["do"] == "link":
            struck = [
                link
                for link in self.links
                if fnmatchcase(link.start, order["from"])
                and fnmatchcase(link.end, order["to"])
                or fnmatchcase(link.end, order["from"])
                and fnmatchcase(link.start, order["to"])
            ]
            if order["fault"]["part"] < 1:
                few = max(1, round(len(struck) * order["fault"]["part"]))
                struck = random.Random(order["number"]).sample(struck, few) if struck else []
            for link in struck:
                link.strike(order["number"], order["fault"], order["begins"])
            self.strike_peers(order)
            self.ledger.add("links", order["fault"]["kind"], order["begins"], len(struck))
        return None

    def strike_peers(self, order: dict[str, Any]) -> None:
        """What a fault between gateways means for their datagrams: each way is a link of its own."""
        kind = order["fault"]["kind"]
        for _, link in self.peers:
            for name in self.names:
                there = fnmatchcase(name, order["from"]) and fnmatchcase(link.end, order["to"])
                back = fnmatchcase(link.end, order["from"]) and fnmatchcase(name, order["to"])
                if there and kind != "cut_back" or back and kind != "cut_there":
                    whole = order["fault"] | {"kind": "cut" if kind.startswith("cut") else kind}
                    link.strike(order["number"], whole, order["begins"], name)

    async def end(self) -> None:
        for _, peer in self.peers:
            peer.transport.close()
        peers = [peer for _, peer in self.peers]
        self.ledger.add("between", sum(peer.bytes for peer in peers), sum(peer.messages for peer in peers))
        for link in self.links:
            link.close()
            for end in list(link.ends):
                if end.transport:
                    end.transport.abort()
        self.ledger.add("carried", sum(link.bytes for link in self.links))
