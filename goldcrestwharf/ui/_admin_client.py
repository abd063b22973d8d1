"""Ask a daemon's administration API."""

from typing import Annotated, TypeVar

import httpx
import typer

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.publishing import decode_document
from goldcrestwharf.ui._output import ExitCode, end

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


def authorize(token: str) -> dict[str, str]:
    """Return the header fields that show ``token``, if there is one."""
    return {'Authorization': f'Bearer {token}'} if token else {}


def refuse_wrong_token(daemon: str, answer: httpx.Response) -> None:
    """End the command if ``daemon`` did not accept the token."""
    if answer.status_code == httpx.codes.UNAUTHORIZED:
        end(
            ExitCode.REFUSED,
            [
                f'{daemon} refused the token; give "admin_token" of its '
                'settings with --token or GOLDCRESTWHARF_TOKEN',
            ],
        )


def ask(
    daemon: str,
    path: str,
    token: str,
    *,
    method: str = 'GET',
) -> httpx.Response:
    """Return the daemon's answer; end the command if there is none."""
    with httpx.Client(timeout=_TIMEOUT_S, trust_env=False) as client:
        try:
            answer = client.request(
                method,
                f'http://{daemon}{path}',
                headers=authorize(token),
            )
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            end(
                ExitCode.UNREACHABLE,
                [f'no answer from {daemon}: {exc}; name a running daemon'],
            )
    refuse_wrong_token(daemon, answer)
    return answer


def ask_document(
    daemon: str,
    path: str,
    token: str,
    kind: type[_DocumentT],
) -> _DocumentT:
    """Return the document that the daemon answers with."""
    answer = ask(daemon, path, token)
    try:
        return decode_document(answer.content, kind)
    except WireFormatError as exc:
        end(ExitCode.UNREACHABLE, [f'{daemon}: {exc}'])
