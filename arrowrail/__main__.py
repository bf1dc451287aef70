"""``python -m arrowrail``: runs a call controller, or a sub-command."""

import sys

if len(sys.argv) > 1 and sys.argv[1] != "--config" and sys.argv[1] not in ("-h", "--help"):
    # Imported only for a sub-command: a controller that the platform starts does not load the command line.
    from arrowrail.cli import main as run_command

    sys.exit(run_command())

from arrowrail.run.main import main

sys.exit(main())
