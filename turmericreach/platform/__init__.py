"""Names, formats and calls of the platform on which the product is deployed.

The modules only translate between the protocols of the platform and the typed messages of the
product; they make no decisions. No other package uses the names of the platform.
"""
