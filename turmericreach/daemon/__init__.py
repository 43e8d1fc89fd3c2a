"""The daemon: its roles, HTTP routes and program."""
