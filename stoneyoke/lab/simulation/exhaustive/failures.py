"""Processes that end and come back, with their disk or with an empty one."""

from collections.abc import Iterator

from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.state import Process, State, Transition, with_process


def failures(model: Model, state: State) -> Iterator[Transition]:
    for process in state.processes:
        address = process.replica.address
        if model.fallible is not None and address not in model.fallible:
            continue
        if state.crashes:
            yield f"{address} restarts", restart(model, state._replace(crashes=state.crashes - 1), process, "")
        if state.losses:
            disk = f"{process.replica.disk}+"
            yield f"{address} loses its disk", restart(model, state._replace(losses=state.losses - 1), process, disk)


def restart(model: Model, state: State, process: Process, disk: str) -> State:
    """The process ends and comes back. disk: of the new, empty one; "": it has the old one."""
    address = process.replica.address
    after = process._replace(incarnation=process.incarnation + 1, chosen=None, counter=0)
    if disk:
        after = Process(process.replica._replace(disk=disk), incarnation=process.incarnation + 1)
    ongoing = tuple(one for one in state.ongoing if model.operations[one.operation].at != address)
    own = {one for one in state.requests if one.to == address and one.sender == process.proposer()}
    return with_process(state, after)._replace(ongoing=ongoing, requests=state.requests - own)
