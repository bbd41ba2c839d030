"""The daemon that accepts jobs and schedules them while it is the leader."""
