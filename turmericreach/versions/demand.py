"""Which models need engines, and which services their lots reach."""

from collections.abc import Mapping

import attrs

from turmericreach.batches.arrivals import ModelArrival
from turmericreach.batches.model_work import ModelWork
from turmericreach.services import Configuration
from turmericreach.versions.assignment import ModelNeeds

__all__ = ["DemandTracker"]

# A model without work for this long has no demand until its next lot or version. Trainers pause for
# less than a second between two steps.
REST_S = 10.0
# A new lot counts as work until its owner has reported it.
ARRIVAL_S = 1.5


@attrs.define
class DemandTracker:
    """Follows which models have work, and derives what they need.

    Attributes
    ----------
    began_at : float
        Loop time in seconds since which the models are followed.
    active_at : dict of str to float
        Loop time in seconds at which each model last had work or a new version.
    """

    began_at: float = 0.0
    active_at: dict[str, float] = attrs.field(factory=dict)

    def restart(self, now: float) -> None:
        """Forget all models; each counts as recently active."""
        self.began_at = now
        self.active_at.clear()

    def needs(
        self,
        configuration: Configuration,
        tokens: Mapping[str, float],
        arrivals: Mapping[str, ModelArrival],
        requested_at: Mapping[str, float],
        work: Mapping[str, ModelWork],
        now: float,
    ) -> ModelNeeds:
        """Return what the models need now.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        tokens : dict of str to float
            Expected tokens of a lot by model.
        arrivals : dict of str to ModelArrival
            Newest lot of each model.
        requested_at : dict of str to float
            Loop time in seconds at which the newest version of each model was requested.
        work : dict of str to ModelWork
            Items of each model that are not listed yet, at all processes.
        now : float
            Loop time in seconds.
        """
        demand, services, working = {}, {}, set()
        for model, amount in tokens.items():
            arrival = arrivals.get(model)
            arrived_at = float("-inf") if arrival is None else arrival.at
            has_work = model in work or now - arrived_at < ARRIVAL_S
            latest = max(arrived_at, requested_at.get(model, float("-inf")), self.began_at)
            if has_work:
                working.add(model)
                latest = now
            active_at = max(self.active_at.get(model, latest), latest)
            self.active_at[model] = active_at
            demand[model] = amount if now - active_at < REST_S else 0.0
            reached = self.reached_services(configuration, model, arrival, work.get(model))
            if reached:
                services[model] = reached
        return ModelNeeds(demand, services, frozenset(working))

    def reached_services(
        self,
        configuration: Configuration,
        model: str,
        arrival: ModelArrival | None,
        work: ModelWork | None,
    ) -> frozenset[str]:
        """Return the services with the model to which its lots go, empty if none is known.

        Without work, the present route of the newest lot tells where the next one will go.
        """
        with_model = {
            service.name
            for service in configuration.services.values()
            if service.engine is not None and model in service.engine.models
        }
        routed: set[str] = set()
        if work is not None:
            routed.update(work.services)
        elif arrival is not None and arrival.path:
            route = configuration.find_route(arrival.host, arrival.path)
            routed.update([] if route is None else route.active_services())
        return frozenset(routed & with_model or routed or with_model)
