"""Runs the decision logic in real time: events in, actions out, timers, the clock, counters."""
