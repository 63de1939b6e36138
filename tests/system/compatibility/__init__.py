"""Data written by earlier releases, and the tests that the current code reads it."""
