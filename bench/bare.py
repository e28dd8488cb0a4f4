"""Serves a bare relay, the baseline of the relay bench.

A falcon endpoint on uvicorn posts each request body to an engine with an
aiohttp client and passes the bytes of the answer on as they arrive. It checks,
retries and records nothing.
"""

import sys
from collections.abc import AsyncIterator

import aiohttp
import falcon.asgi
import uvicorn


class _Relay:
    """Passes each call to the engine whose index its header `X-Upstream` has.

    Attributes:
        upstreams: Base URLs of the engines.
        session: HTTP session to the engines; None before the first call.
    """

    def __init__(self, upstreams: list[str]) -> None:
        self.upstreams = upstreams
        self.session: aiohttp.ClientSession | None = None

    async def on_post(self, request, response) -> None:
        body = await request.stream.read()
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        index = int(request.get_header("X-Upstream"))
        upstream_response = await self.session.post(
            f"{self.upstreams[index]}/generate", data=body
        )
        response.content_type = "text/event-stream"
        response.stream = self._stream_body(upstream_response)

    async def _stream_body(
        self, upstream_response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        try:
            async for data in upstream_response.content.iter_any():
                yield data
        finally:
            upstream_response.close()


def main() -> None:
    """Serves the relay: the arguments are the port and the engines' URLs."""
    app = falcon.asgi.App()
    app.add_route("/generate", _Relay(sys.argv[2:]))
    uvicorn.run(
        app,
        host="127.0.0.1",
        port=int(sys.argv[1]),
        http="httptools",
        loop="asyncio",
        log_level="error",
        access_log=False,
        backlog=2048,
    )


if __name__ == "__main__":
    main()
