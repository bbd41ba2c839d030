"""Benchmarks of admission, placement and fleet control under load and faults."""
