"""Settings of a host: JSON with comments, checked by models."""
