"""Compare policies under too little capacity and print one table."""

from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from benchmarks.policies.orders import ORDERS
from benchmarks.policies.replay import newest_work, usual_work
from benchmarks.policies.table import LOADS, compare, table_rows
from benchmarks.report import markdown_table

app = cyclopts.App(name="policies", help=__doc__)


@app.default
def run(
    *,
    policies: Annotated[list[str] | None, Parameter(help="Names of the policies.")] = None,
    loads: Annotated[list[float] | None, Parameter(help="Load factors.")] = None,
    seeds: Annotated[int, Parameter(help="Number of seeds.")] = 2,
    duration_s: Annotated[float, Parameter(help="Simulated seconds of each replay.")] = 120.0,
    division: Annotated[
        Literal["newest", "usual"], Parameter(help="Lots by whose work engines are divided.")
    ] = "newest",
):
    """Compare policies."""
    found = compare(
        policies or list(ORDERS),
        loads or list(LOADS),
        list(range(1, seeds + 1)),
        duration_s,
        demand=usual_work if division == "usual" else newest_work,
    )
    print(markdown_table(table_rows(found)), end="")


if __name__ == "__main__":
    app()
