"""Logs, metrics and traces for diagnosis; nothing in this package affects scheduling."""
