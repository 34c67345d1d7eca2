"""The replicated log: elections, storage, snapshots, replica changes."""
