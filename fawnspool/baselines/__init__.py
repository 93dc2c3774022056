"""Policies to compare the scheduler with. None of them is for service."""
