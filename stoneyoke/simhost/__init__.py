"""Adapter for the operators' simulator: implements its wire protocol for many gateway instances."""
