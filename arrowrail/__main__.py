"""``python -m arrowrail``: one call controller."""

import sys

if len(sys.argv) > 1 and sys.argv[1] != "--config" and sys.argv[1] not in ("-h", "--help"):
    # Imported only where a sub-command is named: the platform's controllers pay nothing for it.
    from arrowrail.cli import main as command_line

    sys.exit(command_line())

from arrowrail.run.main import main

sys.exit(main())
