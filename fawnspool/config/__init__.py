"""Settings as HCL, checked into frozen dataclasses. No decision is made here."""
