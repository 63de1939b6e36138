"""The random numbers of the decisions: the same from the same seed, in every process."""

MULTIPLIER = 6364136223846793005  # Knuth's MMIX generator
INCREMENT = 1442695040888963407


class RandomSource:
    """A linear congruential generator of 64 bits, of which the high 32 are used."""

    def __init__(self, seed: int) -> None:
        """Starts the sequence of this seed."""
        self.state = seed

    def draw(self) -> float:
        """The next number, from 0 up to but not including 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % 2**64
        return (self.state >> 32) / 2**32
