"""Measures what the system costs by size, with the real code in one process, and fits each cost over the size."""
