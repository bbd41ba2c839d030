"""Calls between the processes of the system, as msgpack over TCP."""
