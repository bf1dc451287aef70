"""``python -m arrowrail``: one call controller."""

import sys

from arrowrail.run.main import main

sys.exit(main())
