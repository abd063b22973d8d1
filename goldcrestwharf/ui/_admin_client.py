"""A client of a daemon's administration API."""

from typing import Annotated, TypeVar

import httpx
import typer

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.publishing import decode_document
from goldcrestwharf.ui._output import ExitCode, exit_with

_TIMEOUT_S = 15

_DocumentT = TypeVar('_DocumentT')

DaemonAddress = Annotated[
    str,
    typer.Option(
        '--daemon',
        metavar='HOST:PORT',
        help='Local address of the daemon to ask.',
    ),
]
AdminToken = Annotated[
    str,
    typer.Option(
        '--token',
        envvar='GOLDCRESTWHARF_TOKEN',
        help='Administration token, as "admin_token" in its settings.',
    ),
]


def authorization_headers(token: str) -> dict[str, str]:
    """Return the headers for ``token``, or none if it is empty."""
    return {'Authorization': f'Bearer {token}'} if token else {}


def exit_on_wrong_token(daemon: str, answer: httpx.Response) -> None:
    """Exit the command if ``daemon`` did not accept the token."""
    if answer.status_code == httpx.codes.UNAUTHORIZED:
        exit_with(
            ExitCode.REFUSED,
            [
                f'{daemon} refused the token; give "admin_token" of its '
                'settings with --token or GOLDCRESTWHARF_TOKEN',
            ],
        )


def send_request(
    daemon: str,
    path: str,
    token: str,
    *,
    method: str = 'GET',
) -> httpx.Response:
    """Return the daemon's response; exit the command if there is none."""
    with httpx.Client(timeout=_TIMEOUT_S, trust_env=False) as client:
        try:
            answer = client.request(
                method,
                f'http://{daemon}{path}',
                headers=authorization_headers(token),
            )
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            exit_with(
                ExitCode.UNREACHABLE,
                [f'no answer from {daemon}: {exc}; name a running daemon'],
            )
    exit_on_wrong_token(daemon, answer)
    return answer


def fetch_document(
    daemon: str,
    path: str,
    token: str,
    document_type: type[_DocumentT],
) -> _DocumentT:
    """Return the document in the daemon's response to a ``GET`` request.

    Exits the command if there is no response or it can't be decoded.
    """
    answer = send_request(daemon, path, token)
    try:
        return decode_document(answer.content, document_type)
    except WireFormatError as exc:
        exit_with(ExitCode.UNREACHABLE, [f'{daemon}: {exc}'])
