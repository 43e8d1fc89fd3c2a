"""Run all measurements of the capacity benchmark."""

from benchmarks.capacity.relay import measure_call, measure_relay
from benchmarks.capacity.tables import (
    measure_configuration,
    measure_lot,
    measure_routing,
    measure_weights,
)
from demo.layout import free_ports

__all__ = ["measure_capacity"]

DAEMONS = [10, 20, 40, 57]
TARGETS = [12, 120, 1200]
SAMPLES = [1024, 4096, 8192]
CALL_RATES = [20, 100, 400]
PREPARE_CONCURRENCY = [4, 16, 32, 40, 64, 128, 300]
WEIGHT_TARGETS = 1200


def measure_capacity():
    """Run the measurements one after the other; return a list of rows, one per size, for each."""
    ports = free_ports(len(DAEMONS) + len(CALL_RATES))
    return {
        "relay": [
            measure_relay(daemons, port)
            for daemons, port in zip(DAEMONS, ports[: len(DAEMONS)], strict=True)
        ],
        "call": [
            measure_call(rate, port)
            for rate, port in zip(CALL_RATES, ports[len(DAEMONS) :], strict=True)
        ],
        "routing": [measure_routing(targets) for targets in TARGETS],
        "lot": [measure_lot(samples) for samples in SAMPLES],
        "configuration": [measure_configuration(targets) for targets in TARGETS],
        "weights": [
            measure_weights(WEIGHT_TARGETS, concurrency) for concurrency in PREPARE_CONCURRENCY
        ],
    }
