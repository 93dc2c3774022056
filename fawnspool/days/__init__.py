"""Days as data: a scripted day's fleet, traffic and faults, and the value of the service on it. No I/O, no clock."""
