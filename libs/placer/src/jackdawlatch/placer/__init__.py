"""The daemon that starts jobs on workers under leases."""
