"""The ``turmericreach`` command-line program."""
