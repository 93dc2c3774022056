"""Recordings: frames on disk, what a scheduler was told and decided, and the names that older builds wrote."""
