"""Benchmarks of admission, placement and control under load and faults."""
