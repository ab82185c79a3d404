"""Wire one host of the system: its tasks and adapters."""
