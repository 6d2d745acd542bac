"""Run the command line with ``python -m waxwingglade``."""

from waxwingglade.cli import main

main()
