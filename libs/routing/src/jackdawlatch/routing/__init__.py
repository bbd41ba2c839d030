"""Choice of runner, health, ejection, draining and rendezvous hashing."""
