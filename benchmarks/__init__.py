"""Measurements kept in docs/measurements.md; each module prints the table that stands there."""
