"""The command line `fawnspool`: one click group, a small file for each command. Parses, calls, prints."""
