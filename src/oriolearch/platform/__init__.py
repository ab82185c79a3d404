"""The adapter to the users' platform: its store, servers, clients, settings."""
