"""A platform adapter whose documents are the product's own types as JSON."""

from types import SimpleNamespace

import msgspec

from ebonyglade.forward.types import (
    ControlCall,
    Endpoint,
    EndpointInstructions,
    EngineReport,
    Headers,
    Load,
    Prefilled,
    PublishedConfiguration,
    ResponseMetadata,
    Stage,
)


def encode_document(
    document: PublishedConfiguration | Endpoint | EngineReport,
) -> bytes:
    """Return a document as the bytes that the store holds."""
    return msgspec.json.encode(document)


def _decode_published(value: bytes) -> PublishedConfiguration:
    return msgspec.json.decode(value, type=PublishedConfiguration)


def _decode_endpoint(name: str, value: bytes) -> Endpoint:
    return msgspec.json.decode(value, type=Endpoint)


def _hold_call(tokens: int, seconds: float) -> ControlCall:
    return ControlCall("POST", "/hold", msgspec.json.encode([tokens, seconds]))


def _stage_call(stage: Stage, holder: str, fence: int, orders: int) -> ControlCall:
    return ControlCall("POST", "/stage", msgspec.json.encode([stage, fence, orders]))


def _request_headers(headers: Headers, instructions: EndpointInstructions) -> Headers:
    return list(headers)


def _read_answer(status: int, headers: dict) -> ResponseMetadata:
    retry_after = headers.get("retry-after")
    limit = headers.get("limit")
    cold = headers.get("cold")
    load = headers.get("load")
    return ResponseMetadata(
        "",
        True,
        True,
        load=None if load is None else msgspec.json.decode(load, type=Load),
        leaving="leaving" in headers,
        retry_after_s=None if retry_after is None else float(retry_after),
        limit_per_s=None if limit is None else float(limit),
        cold_left_s=None if cold is None else float(cold),
    )


plain_adapter = SimpleNamespace(
    CONFIGURATION="configuration",
    ENDPOINTS="endpoints/",
    EVACUATIONS="evacuations/",
    READY_PATH="/ready",
    REQUEST_ID="request-id",
    decode_published=_decode_published,
    decode_endpoint=_decode_endpoint,
    hold_call=_hold_call,
    decode_hold=lambda body: body.decode(),
    drop_hold_call=lambda hold: ControlCall("DELETE", f"/hold/{hold}"),
    decode_prefilled=lambda body: Prefilled(body.decode(), 0),
    free_call=lambda handle: ControlCall("DELETE", f"/handle/{handle}"),
    report_call=lambda: ControlCall("GET", "/report"),
    decode_report=lambda body: msgspec.json.decode(body, type=EngineReport),
    stage_call=_stage_call,
    request_headers=_request_headers,
    response_headers=list,
    read_answer=_read_answer,
)
"""The adapter, with the members of `ebonyglade.forward.adapter.Adapter`."""
