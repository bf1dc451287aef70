"""The sidecar: a call controller for one application, configured by the operator's records alone."""
