"""Command-line tool for operators of figdoor."""
