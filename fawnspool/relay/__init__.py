"""The platform's protocol, in and out: a second edge beside `api` on the core in `head/`. It never chooses."""
