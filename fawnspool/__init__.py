"""Fair I/O scheduling for heads that share storage nodes."""
