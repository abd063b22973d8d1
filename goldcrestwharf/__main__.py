"""Run the command line with ``python -m goldcrestwharf``."""

from goldcrestwharf.ui import main

main()
