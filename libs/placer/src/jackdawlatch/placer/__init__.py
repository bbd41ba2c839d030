"""The daemon that puts jobs on workers under leases."""
