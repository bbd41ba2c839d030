"""What every daemon shares."""
