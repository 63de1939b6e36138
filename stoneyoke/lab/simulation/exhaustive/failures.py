"""Failure transitions: a process restarts with its disk or with an empty one."""

from collections.abc import Iterator

from stoneyoke.lab.simulation.exhaustive.models import Model
from stoneyoke.lab.simulation.exhaustive.state import Process, State, Transition, with_process


def failures(model: Model, state: State) -> Iterator[Transition]:
    """Yields the restart and the loss of the disk of each process that may fail in the model."""
    for process in state.processes:
        address = process.replica.address
        if model.may_fail is not None and address not in model.may_fail:
            continue
        if state.crashes:
            after = restart(model, state._replace(crashes=state.crashes - 1), process, "")
            yield Transition(f"{address} restarts", after)
        if state.losses:
            new_disk = f"{process.replica.disk}+"
            after = restart(model, state._replace(losses=state.losses - 1), process, new_disk)
            yield Transition(f"{address} loses its disk", after)


def restart(model: Model, state: State, process: Process, disk: str) -> State:
    """Stops a process and starts its next incarnation.

    Args:
        model: The model.
        state: The state before the restart.
        process: The process that stops.
        disk: The name of the new, empty disk; "" if the process restarts with its old disk.

    Returns:
        The state after the restart, without the operations of the process and the requests that it sent to itself.
    """
    address = process.replica.address
    after = process._replace(incarnation=process.incarnation + 1, chosen=None, counter=0)
    if disk:
        after = Process(process.replica._replace(disk=disk), incarnation=process.incarnation + 1)
    ongoing = tuple(one for one in state.ongoing if model.operations[one.operation].address != address)
    to_itself = {one for one in state.requests if one.to == address and one.sender == process.proposer()}
    return with_process(state, after)._replace(ongoing=ongoing, requests=state.requests - to_itself)
