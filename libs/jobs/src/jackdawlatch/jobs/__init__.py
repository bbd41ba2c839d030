"""Jobs of steps and tasks: their model, checks, stored forms and intake."""
