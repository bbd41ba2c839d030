"""Support for test functions with fixtures, run by unittest."""
