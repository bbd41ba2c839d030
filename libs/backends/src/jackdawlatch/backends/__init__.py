"""Clients of the platform: host list, runners and workers."""
