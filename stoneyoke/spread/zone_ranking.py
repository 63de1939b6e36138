"""Places in the order of backends: a ring of zones, on which each gateway begins somewhere else. No I/O."""

import math

GOLDEN = 0.618034  # steps of this part of a ring never come close to one another (three-distance theorem)
# In seconds of own call-outs: a gateway takes turns among so many backends. In a window of that length each
# then gets one from it or none, and the sum of many gateways is far more even than by chance.
TURN_S = 2.0
# Among no more, whatever the rate: each gateway learns the pace of each by itself and meets each bad one.
# (Without a limit calm+mass took 4,242 connections in place of 1,736 and fell to 0.72; four cost 0.02 on one
# grown site.)
MOST = 2


def places(zones: list[int], own_zone: int, own: int) -> list[int]:
    """Each backend's place for one gateway, by its index in the list, which is the same at all gateways, a
    zone after the other. The zone's gateways take an even stretch of the ring first: mostly their own zone,
    and some of a large one for a small one's. What is not in the stretch has places from len(zones) on.

    Stretches begin and end within a backend, to which both zones send a part. (With whole ones those at the
    ends were the first of twice as many gateways.)"""
    count, kinds = len(zones), sorted(set(zones))
    if not count:
        return []
    stretch = count / len(kinds)
    begin = kinds.index(own_zone) * stretch if own_zone in kinds else 0.0
    turn = own * GOLDEN % 1
    low, high = int(begin + 1e-9), math.ceil(begin + stretch - 1e-9)
    here = [at % count for at in range(low, high)]
    rest = [at % count for at in range(high, low + count)]
    found = [0] * count
    for part, first, base in ((here, int(begin + turn * stretch) - low, 0), (rest, int(turn * len(rest)), count)):
        for place, at in enumerate(part[first:] + part[:first]):
            found[at] = base + place
    return found


def turns(rate: float) -> int:
    """Among how many backends a gateway takes turns that makes so many call-outs a second."""
    return max(1, min(MOST, math.ceil(TURN_S * rate)))
