"""What heads share, within bounds while some of them hear nothing. No I/O, no clock, seeded."""
