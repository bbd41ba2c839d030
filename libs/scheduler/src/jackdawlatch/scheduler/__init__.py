"""The fleet scheduler: places tasks on workers and maintains machines."""
