"""Records on a controller's disk that survive crashes and power losses."""
