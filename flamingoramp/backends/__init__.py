"""HTTP towards engines and plain services."""
