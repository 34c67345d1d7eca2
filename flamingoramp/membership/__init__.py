"""Cluster membership: records and leases of backend servers, entries and shard owners."""
