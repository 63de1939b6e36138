"""Reproducible random numbers for the decisions: a seed gives the same sequence in every process."""

MULTIPLIER = 6364136223846793005  # Knuth's MMIX generator
INCREMENT = 1442695040888963407


class RandomSource:
    """A linear congruential generator of 64 bits, whose high 32 bits are used."""

    def __init__(self, seed: int) -> None:
        """Starts the sequence of a seed."""
        self.state = seed

    def draw(self) -> float:
        """Returns the next number, from 0 up to but not including 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % 2**64
        return (self.state >> 32) / 2**32
