"""The decisions on requests: which are admitted, where and when each is sent, and when it is tried again."""
