"""Which host is in which pool, within each pool's availability budget."""
