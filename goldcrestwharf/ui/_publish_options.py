"""The options of ``goldcrestwharf publish``."""

from typing import Annotated

import attrs
import typer

from goldcrestwharf.publishing import PublishRequest
from goldcrestwharf.ui._admin_client import AdminToken
from goldcrestwharf.ui._arguments import DocumentPath, JsonFlag
from goldcrestwharf.ui._sources import DEFAULT_URL, DaemonOption, PlatformOption


@attrs.frozen(kw_only=True)
class PublishOptions:
    """The options of one call of the command."""

    path: DocumentPath
    base: Annotated[
        str,
        typer.Option(help='Version that the file was made from.'),
    ] = ''
    platform: PlatformOption = DEFAULT_URL
    daemon: DaemonOption = ''
    token: AdminToken = ''
    wait_s: Annotated[
        int,
        typer.Option(
            help='With --daemon, seconds to wait until all daemons run it.',
            min=0,
        ),
    ] = 0
    publish_id: Annotated[
        str,
        typer.Option('--id', help='Id of the publish, to send it again.'),
    ] = ''
    allow_large_removal: Annotated[
        bool,
        typer.Option(
            '--allow-large-removal',
            help='Accept an empty set, or one that lacks most objects.',
        ),
    ] = False
    author: Annotated[
        str,
        typer.Option(help='Who publishes, for the history.'),
    ] = ''
    note: Annotated[
        str,
        typer.Option(help='Why, for the history.'),
    ] = ''
    new_epoch: Annotated[
        int,
        typer.Option(
            help='Start this epoch with the set, after the log was replaced.',
        ),
    ] = 0
    as_json: JsonFlag = False

    def make_request(self) -> PublishRequest:
        """Return the publish request with the text of the file.

        Raises ``OSError`` or ``UnicodeDecodeError`` if it can't be read.
        """
        return PublishRequest(
            text=self.path.read_text(encoding='utf-8'),
            id=self.publish_id,
            base=self.base,
            allow_large_removal=self.allow_large_removal,
            author=self.author,
            note=self.note,
            new_epoch=self.new_epoch,
        )
