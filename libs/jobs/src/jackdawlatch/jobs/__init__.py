"""Jobs made of steps and tasks: model, checks, stored records and intake."""
