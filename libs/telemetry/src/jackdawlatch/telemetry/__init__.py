"""Metrics, decision logs, invariant checks and recent events."""
