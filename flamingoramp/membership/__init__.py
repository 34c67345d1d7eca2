"""Leases of backend servers, of entries and of shard owners."""
