"""HTTP clients for backend servers: model engines and plain services."""
