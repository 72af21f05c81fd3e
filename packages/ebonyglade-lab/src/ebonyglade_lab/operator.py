"""Manual actions of an operator or a caller on a planned fleet."""

import json
import urllib.error
import urllib.request
from urllib.parse import quote

from ebonyglade_lab.deployment import Plan

TIMEOUT_S = 60.0


def publish(plan: Plan, path: str, document: bytes) -> None:
    """Put a document on the platform's stand-in."""
    _send(_kv_url(plan, path), "PUT", document)


def remove(plan: Plan, path: str) -> None:
    """Remove a path from the platform's stand-in."""
    _send(_kv_url(plan, path), "DELETE", None)


def ask(plan: Plan, prompt: str, key: str) -> str:
    """Return the complete answer to a prompt, or its refusal as JSON."""
    body = {"model": "abstracts", "prompt": prompt, "max_tokens": 64}
    url = plan.of_role("entry")[0].url + "/v1/completions"
    document = json.loads(_send(url, "POST", json.dumps(body).encode(), key))
    if "error" in document:
        return json.dumps(document["error"])
    return document["choices"][0]["text"]


def _kv_url(plan: Plan, path: str) -> str:
    return f"{plan.platform_url}/v1/kv/ebonyglade/{quote(path)}"


def _send(url: str, method: str, body: bytes | None, key: str = "") -> bytes:
    request = urllib.request.Request(url, data=body, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return answer.read()
    except urllib.error.HTTPError as error:
        return error.read()
