"""Decisions under load; no module here reads a clock, sends or stores."""
