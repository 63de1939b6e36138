"""What comes from outside the system: tables of the settings it accepts, and the calls of instances and operators."""
