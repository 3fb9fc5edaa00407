"""Stand-ins for what surrounds figdoor, for tests and the demo."""
