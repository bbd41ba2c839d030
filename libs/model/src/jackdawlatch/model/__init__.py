"""Frozen data classes and typed failures shared by every process."""
