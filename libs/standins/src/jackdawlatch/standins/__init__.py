"""Small stand-ins of the platform, for tests, the demo and the soak."""
