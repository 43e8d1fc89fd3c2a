"""The ``turmericreach`` command line."""
