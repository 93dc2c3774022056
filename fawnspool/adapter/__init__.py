"""Adapter that connects the scheduler to the simulator's wire protocol."""
