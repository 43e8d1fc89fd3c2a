"""Ports, settings files and the manifest of a demo run."""

import socket
from pathlib import Path

import attrs
import yaml

from demo.deployments import Deployment

__all__ = ["DaemonPlace", "Layout", "TargetPlace", "make_layout"]

IP = "127.0.0.1"
ENGINE_SLOTS = 8
PLAIN_SLOTS = 32
GATEWAYS = 2
CALLER_DELAY_S = 0.003


@attrs.frozen
class TargetPlace:
    """A back end process and its placement; `speed` is in tokens per second of one stream."""

    name: str
    service: str
    data_centre: str
    port: int
    is_model: bool
    speed: float = 0.0


@attrs.frozen
class DaemonPlace:
    """A daemon process and its placement.

    Attributes
    ----------
    link_port : int
        Port of the delayed link through which other daemons reach this one.
    caller_port : int
        Port of the delayed link through which callers reach a gateway.
    """

    name: str
    role: str
    data_centre: str
    rpc_port: int
    link_port: int
    http_port: int = 0
    caller_port: int = 0
    targets: list[TargetPlace] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """Address at which other daemons reach this one."""
        return f"{IP}:{self.link_port}"


@attrs.frozen
class Layout:
    """Placement of all processes of a run.

    Attributes
    ----------
    folder : Path
        Folder of settings, manifest and logs.
    objects_port, weights_port : int
        Ports of the object API and the weight store.
    scoring : TargetPlace
        The target of the scoring service; also in `targets`.
    """

    deployment: Deployment
    folder: Path
    objects_port: int
    weights_port: int
    scoring: TargetPlace
    daemons: list[DaemonPlace]

    @property
    def gateways(self) -> list[DaemonPlace]:
        """The daemons on entry hosts."""
        return [daemon for daemon in self.daemons if daemon.role == "gateway"]

    @property
    def targets(self) -> list[TargetPlace]:
        """All back ends."""
        found = []
        for daemon in self.daemons:
            found += daemon.targets
        return found

    @property
    def urls(self) -> list[str]:
        """URLs at which callers reach the gateways."""
        return [f"http://{IP}:{daemon.caller_port}" for daemon in self.gateways]

    def settings_file(self, daemon: DaemonPlace) -> Path:
        """Return the path of a daemon's settings."""
        return self.folder / f"{daemon.name}.yaml"

    def write_settings(self) -> None:
        """Write the settings of every daemon."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for daemon in self.daemons:
            listen = {"ip": IP, "rpc_port": daemon.rpc_port, "advertised": daemon.address}
            if daemon.http_port:
                listen["http_port"] = daemon.http_port
            settings = {
                "role": daemon.role,
                "name": daemon.name,
                "data_centre": daemon.data_centre,
                "region": self.deployment.region,
                "listen": listen,
                "platform": {"url": f"http://{IP}:{self.objects_port}"},
                "seeds": [gateway.address for gateway in self.gateways],
                "stop_timeout_s": 30.0,
            }
            self.settings_file(daemon).write_text(yaml.safe_dump(settings))

    def manifest(self) -> dict:
        """Return the manifest as plain data."""
        deployment = self.deployment
        model = deployment.model_service
        plain = deployment.plain_service
        targets = []
        for daemon in self.daemons:
            for target in daemon.targets:
                targets.append(
                    {
                        "name": target.name,
                        "service": target.service,
                        "data_centre": target.data_centre,
                        "url": f"http://{IP}:{target.port}",
                        "agent": daemon.address,
                        "slots": ENGINE_SLOTS if target.is_model else PLAIN_SLOTS,
                        "speed": target.speed,
                    }
                )
        return {
            "schema": 1,
            "deployment": deployment.name,
            "data_centres": [
                {"name": name, "region": deployment.region} for name in deployment.data_centres
            ],
            "models": [{"name": model.model, "activate_after_s": 5.0, "prepare_concurrency": 2}],
            "services": [
                {
                    "name": model.name,
                    "kind": "model",
                    "model": model.model,
                    "refusals_not_run": True,
                    "deadline_s": 60.0,
                },
                {
                    "name": plain.name,
                    "kind": "plain",
                    "non_idempotent_paths": plain.non_idempotent_paths,
                    "deadline_s": 10.0,
                },
                {
                    "name": "scoring",
                    "kind": "plain",
                    "retry_unknown_scores": True,
                    "deadline_s": 10.0,
                },
            ],
            "targets": targets,
            "trainers": [{"name": trainer.name} for trainer in deployment.trainers],
            "sites": [
                {
                    "name": "main",
                    "time_zone": deployment.time_zone,
                    "opens": "08:00",
                    "closes": "20:00",
                    "reserved_share": 0.25,
                }
            ],
            "policy": {"weighting": deployment.weighting},
        }

    def write_manifest(self) -> Path:
        """Write the manifest and return its path."""
        path = self.folder / "manifest.yaml"
        path.write_text(yaml.safe_dump(self.manifest(), sort_keys=False))
        return path


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports that are free now, though not reserved."""
    sockets = []
    for _ in range(count):
        found = socket.socket()
        found.bind((IP, 0))
        sockets.append(found)
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


def make_layout(deployment: Deployment, folder: Path) -> Layout:
    """Place the processes of a deployment over its data centres."""
    model = deployment.model_service
    plain = deployment.plain_service
    targets_count = len(model.speeds) + plain.workers + 1
    ports = iter(free_ports(2 + targets_count + 4 * GATEWAYS + 2 * len(deployment.data_centres)))
    objects_port, weights_port = next(ports), next(ports)
    centres = deployment.data_centres
    targets = []
    for number, speed in enumerate(model.speeds):
        place = centres[number % len(centres)]
        name = f"{model.name}-{number + 1}"
        targets.append(TargetPlace(name, model.name, place, next(ports), True, speed))
    for number in range(plain.workers):
        place = centres[number % len(centres)]
        name = f"{plain.name}-{number + 1}"
        targets.append(TargetPlace(name, plain.name, place, next(ports), False))
    scoring = TargetPlace("scoring-1", "scoring", centres[0], next(ports), False)
    targets.append(scoring)
    daemons = []
    for number in range(GATEWAYS):
        place = centres[number % len(centres)]
        daemons.append(
            DaemonPlace(
                f"gateway-{number + 1}",
                "gateway",
                place,
                next(ports),
                next(ports),
                next(ports),
                next(ports),
            )
        )
    for centre in centres:
        hosted = [target for target in targets if target.data_centre == centre]
        daemons.append(
            DaemonPlace(
                f"agent-{centre}", "agent", centre, next(ports), next(ports), targets=hosted
            )
        )
    return Layout(deployment, folder, objects_port, weights_port, scoring, daemons)
