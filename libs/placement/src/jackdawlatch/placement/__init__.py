"""The job registry, and the planning of which job runs on which host."""
