"""JSON requests and responses of the stand-ins' HTTP servers."""

import json
from typing import Any

import falcon
import falcon.asgi

__all__ = ["Json", "read_json", "write_json"]

Json = dict[str, Any]


async def read_json(request: falcon.asgi.Request) -> Json:
    """Returns the JSON object in a request's body.

    Raises:
        falcon.HTTPBadRequest: The body is not a JSON object.
    """
    try:
        document = json.loads(await request.stream.read())
    except ValueError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    if not isinstance(document, dict):
        raise falcon.HTTPBadRequest(description="expected a JSON object")
    return document


def write_json(
    response: falcon.asgi.Response, document: Json, status: int = 200
) -> None:
    """Writes a JSON response."""
    response.status = status
    response.content_type = falcon.MEDIA_JSON
    response.data = json.dumps(document).encode()
