"""Runs the decision logic in real time: delivers events, carries out actions, and has timers, clock and counters."""
