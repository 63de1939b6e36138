"""A gateway's order among equal backends: a ring of all zones on which each gateway begins elsewhere. No I/O."""

import math

GOLDEN_RATIO = 0.618034  # multiples of this part of a ring never come close to one another (three-distance theorem)
# A gateway rotates among so many backends that in a window of this length, in seconds, each gets one of its
# attempts or none. The sum over many gateways is then far more even than by chance.
ROTATION_WINDOW_S = 2.0
# At most among so many, whatever its rate: each gateway learns the latency of each by itself and meets each bad
# one. (Without a limit calm+mass took 4,242 connections in place of 1,736 and fell to 0.72; four cost 0.02 on
# one grown site.)
ROTATION_MAX = 2


def ring_positions(zones: list[int], own_zone: int, own_index: int) -> list[int]:
    """The place of each backend in one gateway's order.

    The backends are a ring, zone after zone. A zone's gateways have an even stretch of it: mostly the backends of
    their own zone, and some of a large one for a small one's. Stretches begin and end within a backend, to which
    both zones then send. (With whole backends those at the ends were the first of twice as many gateways.)

    Args:
        zones: the zone of each backend, sorted. The list is the same at all gateways.
        own_zone: the gateway's zone.
        own_index: the gateway's number. Each begins elsewhere in its stretch.

    Returns:
        The place of each backend, in the order of `zones`. Outside of the stretch they are from len(zones) on.
    """
    count, kinds = len(zones), sorted(set(zones))
    if not count:
        return []
    stretch = count / len(kinds)
    stretch_start = kinds.index(own_zone) * stretch if own_zone in kinds else 0.0
    offset = own_index * GOLDEN_RATIO % 1  # of the stretch
    low, high = int(stretch_start + 1e-9), math.ceil(stretch_start + stretch - 1e-9)
    inside = [at % count for at in range(low, high)]
    outside = [at % count for at in range(high, low + count)]
    first_inside, first_outside = int(stretch_start + offset * stretch) - low, int(offset * len(outside))
    positions = [0] * count
    for position, at in enumerate(rotated(inside, first_inside)):
        positions[at] = position
    for position, at in enumerate(rotated(outside, first_outside), start=count):
        positions[at] = position
    return positions


def rotated(backends: list[int], first: int) -> list[int]:
    """A list that begins at its element `first` and goes round."""
    return backends[first:] + backends[:first]


def rotation_size(attempts_per_s: float) -> int:
    """The number of backends among which a gateway rotates at this rate of attempts."""
    return max(1, min(ROTATION_MAX, math.ceil(ROTATION_WINDOW_S * attempts_per_s)))
