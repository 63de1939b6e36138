"""Defects in how gateways receive configurations and track instances."""

import zlib
from typing import Any

from stoneyoke.api.calls import Acknowledged
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.controlplane import discovery_service, instance_registry
from stoneyoke.gateway import config_sync, instance_directory
from stoneyoke.lab.simulation.defects.patches import Patch
from stoneyoke.transport.messages import FetchRequest, FetchResponse


def caught_up_from_one_controller() -> list[Patch]:
    """A gateway considers itself caught up once one controller has responded."""

    def caught_up(self: instance_directory.InstanceDirectory, now: float) -> Any:
        updates = [one.last_pull for one in self.controllers.values() if one.last_pull]
        return max((Version(*update.version) for update in updates), default=None)

    return [Patch(instance_directory.InstanceDirectory, "caught_up", caught_up)]


def configuration_goes_back() -> list[Patch]:
    """A gateway applies any configuration that it receives, even an older one."""

    async def fetch(self: config_sync.ConfigSync, name: str) -> None:
        answer = await self.peer_clients[name].call(FetchRequest(), 1.0)
        if isinstance(answer, FetchResponse) and answer.body:
            configuration = read_configuration(zlib.decompress(answer.body))
            self.version = configuration.version
            self.listener.apply_configuration(configuration)

    async def pull(self: config_sync.ConfigSync, name: str) -> None:
        await real(self, name)
        update = self.instance_directory.controllers[name].last_pull
        if update and update.version.number and Version(*update.version) != self.version:
            await fetch(self, name)

    real = config_sync.ConfigSync.pull
    return [Patch(config_sync.ConfigSync, "pull", pull)]


def drain_acknowledged_by_one() -> list[Patch]:
    """A drain is acknowledged once one controller knows it, and is not forwarded."""

    async def acknowledge_by_one(self: Any, row: Any) -> Any:
        return Acknowledged()

    async def forward_nothing(self: Any, rows: Any) -> None:
        pass

    return [
        Patch(discovery_service.DiscoveryService, "acknowledge_by_majority", acknowledge_by_one),
        Patch(discovery_service.DiscoveryService, "forward_heartbeats", forward_nothing),
    ]


def drain_lost_to_new_instance() -> list[Patch]:
    """A new instance at the address of a draining instance marks the draining one as silent."""

    def silence_previous_owner(self: instance_registry.InstanceRegistry, row: Any) -> None:
        for other in self.records.values():
            if (
                other.row.address == row.address
                and other.row.instance != row.instance
                and (other.row.phase < instance_registry.Phase.GONE)
            ):
                other.row = other.row._replace(phase=int(instance_registry.Phase.SILENT))
                self._mark_changed(other)

    return [Patch(instance_registry.InstanceRegistry, "silence_previous_owner", silence_previous_owner)]
