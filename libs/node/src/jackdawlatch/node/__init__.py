"""Components common to every daemon."""
