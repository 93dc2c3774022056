"""Request scheduling: which requests are admitted, where and when each is sent, and when it is retried."""
