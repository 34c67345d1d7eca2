"""Replicated log after Raft: elections, storage, snapshots and membership changes."""
