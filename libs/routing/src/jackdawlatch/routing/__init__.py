"""Load balancing, ejection of failing runners and rendezvous hashing."""
