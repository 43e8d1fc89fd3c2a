"""Names, formats and calls of the users' platform.

Nothing here decides: the modules translate between what is spoken on the platform and the typed
messages of the product. No other package uses the platform's names.
"""
