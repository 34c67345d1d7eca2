"""Records and leases of backend servers and entries (processes callers contact), shard owners."""
