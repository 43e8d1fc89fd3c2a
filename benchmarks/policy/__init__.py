"""Policy benchmark: the project's decision packages in virtual time."""
