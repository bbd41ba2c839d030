"""The daemon that answers callers."""
