"""An application's configuration: its form, its defaults, and the check that program and tool share."""
