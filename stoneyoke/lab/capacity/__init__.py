"""What the system costs by size: the real logic driven as hollow instances in one process, measured and fitted."""
