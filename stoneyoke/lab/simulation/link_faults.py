"""Faults of links and disks: partitions, held and late messages, lost answers, disks that are slow or fail."""

import asyncio
from dataclasses import replace

from stoneyoke.consensus.quorum import majority
from stoneyoke.lab.simulation.fault_effects import FaultEffects
from stoneyoke.lab.simulation.plans import Fault, FaultKind

CONTROLLERS_ONLY = (FaultKind.CUT_GATEWAYS, FaultKind.SPLIT)


class LinkFaults(FaultEffects):
    """Handles the faults of links and disks."""

    async def cut(self, fault: Fault) -> None:
        """Cuts machines, together, off from all others.

        If gateways are cut or controllers split, from the controllers only. If the cut is one-way, what they send is
        lost and what they receive is not; then none of them counts as cut off.
        """
        who = set(fault.who)
        gateways = [] if fault.kind in CONTROLLERS_ONLY else [*self.cluster.gateways]
        others = [name for name in (*self.cluster.controllers, *gateways) if name not in who]
        pairs = {(one, other) for one in who for other in others}
        if not fault.one_way:
            pairs |= {(other, one) for one, other in pairs}
        self.disturb(fault.who, fault.for_s)
        self.network.cuts.update(pairs)
        cut_off = {} if fault.one_way else self.cut_off_since(who)
        self.client.cut_off_since |= cut_off
        await asyncio.sleep(fault.for_s)
        self.network.cuts.subtract(pairs)
        self.network.release_waiting()
        for name in cut_off:
            self.client.cut_off_since.pop(name, None)

    def cut_off_since(self, who: set[str]) -> dict[str, float]:
        """Returns the controllers that reach no majority of their voters among these machines, with the time."""
        now, cut_off = self.environment.now(), {}
        for name in who & set(self.cluster.controllers):
            controller = self.cluster.controllers[name].controller
            voters = controller.replica.voters().addresses() if controller else ()
            if controller and len(who.intersection(voters)) < majority(len(voters)):
                cut_off[name] = now
        return cut_off

    async def hold(self, fault: Fault) -> None:
        """Holds all messages to and from machines, and delivers them afterwards."""
        self.disturb(fault.who, fault.for_s)
        self.network.held.update(fault.who)
        self.excuse(fault)
        await asyncio.sleep(fault.for_s)
        self.network.held.subtract(fault.who)
        self.network.release_waiting()

    async def delay_messages(self, fault: Fault) -> None:
        """Delays a share of all messages and delivers another share twice."""
        now = self.environment.now()
        self.disturbances.disturb_links(now, now + fault.for_s)
        for name in self.cluster.gateways:
            self.disturbances.disturb_gateway(name, now + fault.for_s)
        self.network.late, self.network.doubled = fault.share, fault.doubled
        self.excuse(replace(fault, who=tuple(self.cluster.controllers)))
        await asyncio.sleep(fault.for_s)
        self.network.late = self.network.doubled = 0.0

    async def drop_answers(self, fault: Fault) -> None:
        """Drops a share of the answers to operators and backends, whose calls are carried out."""
        now = self.environment.now()
        self.disturbances.disturb_links(now, now + fault.for_s)
        self.network.answers_lost = fault.share
        await asyncio.sleep(fault.for_s)
        self.network.answers_lost = 0.0

    async def disturb_disk(self, fault: Fault) -> None:
        """Makes a controller's disk slow, stall or refuse."""
        disk = self.cluster.controllers[fault.who[0]].disk
        self.disturb(fault.who, fault.for_s)
        disk.set_fault(fault.how)
        self.excuse(fault)
        await asyncio.sleep(fault.for_s)
        disk.set_fault("")
