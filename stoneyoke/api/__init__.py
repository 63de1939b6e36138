"""What comes from outside the system: tables of what is taken, and the calls of backends and operators. No I/O."""
