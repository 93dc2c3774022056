"""`python -m fawnspool.cli`."""

from fawnspool.cli.main import main

main()
