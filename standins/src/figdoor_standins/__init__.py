"""Stand-ins for the systems around figdoor, for tests and the demo."""
