"""Runs the decisions in real time: events in, actions out, timers, the clock, counters."""
