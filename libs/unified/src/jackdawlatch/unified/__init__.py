"""One daemon that takes jobs and, while it leads, schedules them."""
