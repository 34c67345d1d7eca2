"""Orders to engines and their fencing numbers."""
