"""The entry: the daemon that serves callers over HTTP."""
