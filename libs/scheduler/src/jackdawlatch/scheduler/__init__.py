"""The leader's part: places tasks on workers and maintains machines."""
