"""Files that outlive the process, written off the loop."""
