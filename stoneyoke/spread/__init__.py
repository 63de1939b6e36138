"""Spreads the attempts of many gateways evenly over all backends, without communication between the gateways."""
