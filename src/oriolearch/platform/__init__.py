"""Adapter to the users' platform: its store, servers, callers and settings."""
