"""Where each gateway of many begins, so that together they call all backends alike. No I/O."""
