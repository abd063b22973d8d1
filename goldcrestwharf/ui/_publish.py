"""Publish a set of objects."""

import secrets
from datetime import UTC, datetime

import anyio
import attrs

from goldcrestwharf.publishing import OutcomeDocument
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._options import takes_options
from goldcrestwharf.ui._outcomes import report_outcome
from goldcrestwharf.ui._output import ExitCode, exit_with
from goldcrestwharf.ui._publish_options import PublishOptions
from goldcrestwharf.ui._publish_requests import (
    publish_to_daemon,
    publish_to_platform,
)
from goldcrestwharf.ui._rollout import wait_for_rollout

_PUBLISH_ID_BYTES = 8


@app.command(
    name='publish',
    epilog='Example: goldcrestwharf publish shop.jsonc --base 1.412',
)
@takes_options(PublishOptions)
def publish_command(options: PublishOptions) -> None:
    """Publish a complete set of objects.

    Exits with 0 once the set is accepted, with 1 if it is refused, and with
    3 if the platform can't be reached or the outcome is unknown, or if some
    daemon doesn't run the version after --wait-s.
    """
    if not options.publish_id:
        options = attrs.evolve(options, publish_id=_make_id())
    try:
        document = anyio.run(_publish, options)
    except UnicodeDecodeError:
        exit_with(
            ExitCode.REFUSED,
            [f'{options.path}: not valid UTF-8; save it with that encoding'],
        )
    report_outcome(document, as_json=options.as_json)
    if options.daemon and options.wait_s:
        wait_for_rollout(options, document.version)


async def _publish(options: PublishOptions) -> OutcomeDocument:
    if options.daemon:
        return await publish_to_daemon(options)
    return await publish_to_platform(options, published_at=_format_now())


def _make_id() -> str:
    return secrets.token_hex(_PUBLISH_ID_BYTES)


def _format_now() -> str:
    return datetime.now(tz=UTC).isoformat(timespec='seconds')
