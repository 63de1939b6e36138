"""The adapter for the operators' simulator: its wire, spoken for many gateway instances."""
