"""Implementation of `flamingoramp.dialect.Dialect` for the platform: names, formats and calls."""
