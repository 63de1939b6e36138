"""What the system's own processes say to one another."""
