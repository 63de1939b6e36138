"""What every part of the decisions stands on."""

from stoneyoke.control.actions import Action
from stoneyoke.control.open_rpc import MethodRow
from stoneyoke.control.parameters import GatewayParameters
from stoneyoke.limits.random_source import RandomSource

BEAT = 50_000  # the one timer: 20 a second is fine enough for every look below and costs little


class Ground:
    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        self.parameters, self.now, self.born = parameters, now, now
        self.random_source = RandomSource(parameters.seed)
        self.methods = [MethodRow(m.soft_deadline_us) for m in parameters.methods]
        self.actions: list[Action] = []
        self.woke = 0
