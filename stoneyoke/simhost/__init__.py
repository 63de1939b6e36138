"""The simulator's side door: its wire, spoken for many gateway instances."""
