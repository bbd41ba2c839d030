"""Validation, editing and differences of the operators' configuration."""
