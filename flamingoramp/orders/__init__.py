"""Orders to engines to load models, protected by fencing numbers."""
