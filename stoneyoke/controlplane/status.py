"""What a controller knows, for people and the command line. No I/O."""

import json
from typing import TYPE_CHECKING

from stoneyoke.controlplane.instance_registry import Phase

if TYPE_CHECKING:
    from stoneyoke.controlplane.controller import Controller


def status_text(controller: "Controller") -> bytes:
    """JSON. Lengths of time in seconds."""
    now, replica = controller.clock(), controller.replica
    voters, view = replica.voters(), replica.view()
    status = {
        "name": controller.name,
        "address": controller.ip,
        "disk": replica.identity.disk,
        "version": str(replica.version()),
        "votes": replica.is_voter(),
        "ballot": {
            "promised": replica.acceptor.promised.counter,
            "accepted": view.ballot.counter if view else None,
            "chosen": replica.chosen.ballot.counter if replica.chosen else None,
        },
        "voters": {"number": voters.number, "members": [f"{one.address}/{one.disk}" for one in voters.members]},
        "in_touch": controller.has_quorum(),
        "keeper": controller.lease.holder_known(),
        "controllers": {
            name: {
                "disk": peer.replica.disk if peer.replica else None,
                "version": str(peer.view.value.version) if peer.view else None,
                "votes": peer.replica in voters.members,
                "silent_s": round(now - peer.last_heard_at, 2),
            }
            for name, peer in controller.peers.items()
        },
        "gateways": {
            name: {"version": str(seen.version), "silent_s": round(now - seen.at, 2), "ready": seen.ready}
            for name, seen in controller.gateways_seen.items()
        },
        "backends": {
            name: {
                "service": record.row.service,
                "address": record.row.address,
                "phase": Phase(record.row.phase).name.lower(),
                "zone": record.row.zone,
                "silent_s": round(now - record.last_heard_at, 2),
            }
            for name, record in controller.discovery.registry.records.items()
        },
    }
    return json.dumps(status, indent=1).encode()
