"""The daemon that keeps pools within their availability budget."""
