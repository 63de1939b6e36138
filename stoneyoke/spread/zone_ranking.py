"""A gateway's order among equal backends: a ring over all zones on which each gateway has its own start. No I/O."""

import math

GOLDEN_RATIO = 0.618034  # multiples of this fraction of a ring stay far apart (three-distance theorem)
# Seconds. A gateway rotates among so many backends that each gets at most one of its attempts in this window.
# The sum over many gateways is then far more even than by random choice.
ROTATION_WINDOW_S = 2.0
# Most backends in the rotation, whatever the gateway's rate. Each gateway has to measure the latency of each of them
# and to find each bad one itself: more backends do worse, and without a limit connections more than double.
ROTATION_MAX = 2


def ring_positions(zones: list[int], own_zone: int, own_index: int) -> list[int]:
    """Returns the position of each backend in one gateway's order.

    The backends form a ring, ordered by zone. Each zone's gateways get an equal stretch of the ring: mostly the
    backends of their own zone; those of a small zone also get some of a large one. A stretch may start and end within a
    backend, to which both zones then send: with whole backends, those at the ends would come first for twice as many
    gateways.

    Args:
        zones: the zone of each backend, sorted. The list is the same at all gateways.
        own_zone: the gateway's zone.
        own_index: the gateway's number. It sets where in its stretch the gateway starts.

    Returns:
        The position of each backend, in the order of `zones`. Positions outside the stretch start at len(zones).
    """
    count, kinds = len(zones), sorted(set(zones))
    if not count:
        return []
    stretch = count / len(kinds)
    stretch_start = kinds.index(own_zone) * stretch if own_zone in kinds else 0.0
    offset = own_index * GOLDEN_RATIO % 1  # of the stretch
    low, high = int(stretch_start + 1e-9), math.ceil(stretch_start + stretch - 1e-9)
    inside = [index % count for index in range(low, high)]
    outside = [index % count for index in range(high, low + count)]
    first_inside, first_outside = int(stretch_start + offset * stretch) - low, int(offset * len(outside))
    positions = [0] * count
    for position, index in enumerate(rotated(inside, first_inside)):
        positions[index] = position
    for position, index in enumerate(rotated(outside, first_outside), start=count):
        positions[index] = position
    return positions


def rotated(backends: list[int], first: int) -> list[int]:
    """Returns the list rotated so that it starts at index `first`."""
    return backends[first:] + backends[:first]


def rotation_size(attempts_per_s: float) -> int:
    """Returns the number of backends among which a gateway rotates at this rate of attempts."""
    return max(1, min(ROTATION_MAX, math.ceil(ROTATION_WINDOW_S * attempts_per_s)))
