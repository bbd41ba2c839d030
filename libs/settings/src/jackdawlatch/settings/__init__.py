"""JSON settings, checked on start."""
