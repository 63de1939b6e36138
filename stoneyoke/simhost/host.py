"""Hosts the simulated gateways of one process, and dispatches each event to the gateway that it names."""

import json
from typing import BinaryIO

from stoneyoke.simhost.errors import MalformedFrame
from stoneyoke.simhost.instance import Instance
from stoneyoke.simhost.wire import LIST_FAILED, ActionCode, Batch, EventCode, Fields, Reply, batches
from stoneyoke.single_gateway.errors import InvalidConfiguration
from stoneyoke.single_gateway.parameters import read_parameters


class Host:
    """All instances of one process.

    Attributes:
        instances: The instances, by the simulator's numbers.
        endpoint_lists: The lists of backends that events refer to, by number. All instances share them.
    """

    def __init__(self) -> None:
        """Starts without instances."""
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, list[Fields]] = {}

    def process_batch(self, batch: Batch) -> bytes:
        """Handles the events of a batch in order, and returns the reply's frame.

        Raises:
            MalformedFrame: The batch can't be decoded.
        """
        reply = Reply(batch.number)
        for code, fields in batch.events():
            if code == EventCode.MANIFEST:
                number, offset, count = fields
                self.endpoint_lists[number] = batch.endpoint_rows(offset, count)
                continue
            try:
                self.handle(code, fields, batch, reply)
            except MalformedFrame:
                raise
            except InvalidConfiguration as error:
                reply.add_text(ActionCode.BROKEN, fields[0], str(error))
            except Exception as error:  # outermost guard: the simulator receives any fault in the decision logic
                reply.add_text(ActionCode.BROKEN, fields[0], f"{type(error).__name__}: {error}")
        return reply.frame()

    def handle(self, code: int, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Handles one event of an instance. An event of an unknown instance is ignored."""
        if code == EventCode.SPAWN:
            self.spawn(fields, batch)
            return
        if code == EventCode.KILLED:
            self.instances.pop(fields[0], None)
            return
        instance = self.instances.get(fields[0])
        if instance is None:
            return
        if code == EventCode.BACKENDS_CHANGED:
            self.update_endpoints(instance, fields, batch, reply)
        else:
            instance.handle(code, fields, batch, reply)

    def spawn(self, fields: Fields, batch: Batch) -> None:
        """Starts an instance.

        Raises:
            InvalidConfiguration: The settings are invalid.
        """
        number, seed, offset, size = fields
        try:
            settings = json.loads(batch.tail_slice(offset, size))
        except ValueError as error:
            raise InvalidConfiguration(f"start message is not JSON: {error}") from error
        self.instances[number] = Instance(number, read_parameters(seed, settings), batch.clock_us)

    def update_endpoints(self, instance: Instance, fields: Fields, batch: Batch, reply: Reply) -> None:
        """Reports a change of the list of backends to an instance."""
        _, mode, _, number = fields
        if mode == LIST_FAILED:
            instance.discovery_failed(batch, reply)
        elif number not in self.endpoint_lists:
            raise MalformedFrame(f"frame {batch.number}: unknown list of backends {number}")
        else:
            instance.endpoints_changed(mode, self.endpoint_lists[number], batch, reply)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to each batch of the simulator until the input ends.

    Raises:
        MalformedFrame: A frame can't be decoded.
    """
    host = Host()
    for batch in batches(source):
        sink.write(host.process_batch(batch))
        sink.flush()
