"""Assigns hosts to pools within each pool's availability budget."""
