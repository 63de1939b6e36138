"""Faults of links and disks: partitions, held and late messages, lost responses, disks that are slow or fail."""

import asyncio
from dataclasses import replace

from stoneyoke.consensus.quorum import majority
from stoneyoke.lab.simulation.fault_effects import FaultEffects
from stoneyoke.lab.simulation.plans import Fault, FaultKind

CONTROLLERS_ONLY = (FaultKind.CUT_GATEWAYS, FaultKind.SPLIT)


class LinkFaults(FaultEffects):
    """Handles the faults of links and disks."""

    async def cut(self, fault: Fault) -> None:
        """Partitions a group of machines from all others.

        The kinds CUT_GATEWAYS and SPLIT partition the group from the controllers only. A one-way partition blocks what
        the group sends and not what it receives; then none of its machines counts as isolated.
        """
        who = set(fault.who)
        gateways = [] if fault.kind in CONTROLLERS_ONLY else [*self.cluster.gateways]
        others = [name for name in (*self.cluster.controllers, *gateways) if name not in who]
        pairs = {(one, other) for one in who for other in others}
        if not fault.one_way:
            pairs |= {(other, one) for one, other in pairs}
        self.disturb(fault.who, fault.for_s)
        self.network.partitions.update(pairs)
        isolated = {} if fault.one_way else self.isolated_controllers(who)
        self.client.isolated_since |= isolated
        await asyncio.sleep(fault.for_s)
        self.network.partitions.subtract(pairs)
        self.network.release_waiting()
        for name in isolated:
            self.client.isolated_since.pop(name, None)

    def isolated_controllers(self, who: set[str]) -> dict[str, float]:
        """Returns the controllers that reach no majority of their voters within this group, with the current time."""
        now, isolated = self.environment.now(), {}
        for name in who & set(self.cluster.controllers):
            controller = self.cluster.controllers[name].controller
            voters = controller.replica.voters().addresses() if controller else ()
            if controller and len(who.intersection(voters)) < majority(len(voters)):
                isolated[name] = now
        return isolated

    async def hold(self, fault: Fault) -> None:
        """Holds all messages to and from machines, and delivers them when the fault ends."""
        self.disturb(fault.who, fault.for_s)
        self.network.held.update(fault.who)
        self.exempt(fault)
        await asyncio.sleep(fault.for_s)
        self.network.held.subtract(fault.who)
        self.network.release_waiting()

    async def delay_messages(self, fault: Fault) -> None:
        """Delays a share of all messages, and delivers a share of them twice."""
        now = self.environment.now()
        self.disturbances.disturb_links(now, now + fault.for_s)
        for name in self.cluster.gateways:
            self.disturbances.disturb_gateway(name, now + fault.for_s)
        self.network.late, self.network.doubled = fault.share, fault.doubled
        self.exempt(replace(fault, who=tuple(self.cluster.controllers)))
        await asyncio.sleep(fault.for_s)
        self.network.late = self.network.doubled = 0.0

    async def drop_responses(self, fault: Fault) -> None:
        """Drops a share of the responses to operators and backends. Their calls are carried out."""
        now = self.environment.now()
        self.disturbances.disturb_links(now, now + fault.for_s)
        self.network.answers_lost = fault.share
        await asyncio.sleep(fault.for_s)
        self.network.answers_lost = 0.0

    async def disturb_disk(self, fault: Fault) -> None:
        """Makes a controller's disk slow, stalls it or lets its syncs fail."""
        disk = self.cluster.controllers[fault.who[0]].disk
        self.disturb(fault.who, fault.for_s)
        disk.set_fault(fault.how)
        self.exempt(fault)
        await asyncio.sleep(fault.for_s)
        disk.set_fault("")
