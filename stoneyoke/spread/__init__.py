"""Spreads the attempts of many gateways evenly over all backends, without any word between the gateways."""
