"""Choice of backend servers, queues and the memory ledger."""
