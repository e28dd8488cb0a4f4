"""The program `tamarackpier-standin`, which serves stand-ins on loopback."""

import asyncio
import dataclasses

import aiohttp
import click
import uvicorn

from tamarackpier.platform import interfaces
from tamarackpier.standin import engine, platform_app, upstream_app

__all__ = ["main"]


@click.group()
def main() -> None:
    """Serves stand-ins for the platform and the upstreams on loopback."""


@main.command()
@click.option("--port", type=int, required=True, help="Port to listen on.")
def platform(port: int) -> None:
    """Serves the table, the object store and the instance list."""
    app = platform_app.create_app(platform_app.create_platform())
    uvicorn.run(app, host="127.0.0.1", port=port, log_level="warning")


@main.command()
@click.option("--port", type=int, required=True, help="Port to listen on.")
@click.option(
    "--platform-url",
    required=True,
    help="URL of the platform that lists the engines.",
)
@click.option("--domain", required=True, help="Fabric domain.")
@click.option("--zone", required=True, help="Availability zone.")
@click.option("--engines", type=int, default=5, help="Number of engines.")
@click.option("--load-s", type=float, default=1.0, help="Seconds per load.")
@click.option(
    "--token-s", type=float, default=0.02, help="Seconds between tokens."
)
@click.option("--slots", type=int, default=16, help="Requests in flight.")
@click.option(
    "--ignore-fencing", is_flag=True, help="Accept outdated fencing numbers."
)
def upstream(
    port: int,
    platform_url: str,
    domain: str,
    zone: str,
    engines: int,
    load_s: float,
    token_s: float,
    slots: int,
    ignore_fencing: bool,
) -> None:
    """Serves the engines of one fabric domain and a plain service."""
    specs = [
        engine.EngineSpec(
            f"{domain}-e{index}", domain, zone, not ignore_fencing, slots
        )
        for index in range(engines)
    ]
    weights = engine.WeightStore(load_s, parallel_loads=4)
    cluster = engine.EngineCluster(
        {spec.instance_id: engine.FakeEngine(spec, weights) for spec in specs},
        token_s,
    )
    app = upstream_app.create_app(cluster, upstream_app.PlainService())
    asyncio.run(_register(specs, platform_url, port))
    uvicorn.run(app, host="127.0.0.1", port=port, log_level="critical")


async def _register(
    specs: list[engine.EngineSpec], platform_url: str, port: int
) -> None:
    async with aiohttp.ClientSession() as session:
        for spec in specs:
            instance = interfaces.ListedInstance(
                spec.instance_id,
                interfaces.InstanceKind.ENGINE,
                spec.availability_zone,
                spec.domain,
                f"http://127.0.0.1:{port}/engines/{spec.instance_id}",
                checks_fencing=spec.checks_fencing,
            )
            body = dataclasses.asdict(instance)
            async with session.post(f"{platform_url}/instances", json=body):
                pass


if __name__ == "__main__":
    main()
