"""Measures of the decisions under load and faults."""
