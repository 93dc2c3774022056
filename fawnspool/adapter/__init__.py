"""The decisions behind the simulator's wire."""
