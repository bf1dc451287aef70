"""In-memory state: slot table, timer queue and the list of desk exchanges."""
