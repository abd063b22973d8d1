"""Define the versions of the configuration."""

import attrs


@attrs.frozen(order=True)
class Version:
    """A version: the log's epoch and the record's offset in it.

    The epoch increases only by an operator's command, after the platform's
    log was replaced and its offsets started at zero again.
    """

    epoch: int
    offset: int

    def __str__(self) -> str:
        """Return the text form that operators use, such as ``1.412``."""
        return f'{self.epoch}.{self.offset}'

    @classmethod
    def parse(cls, text: str) -> 'Version':
        """Return the version that ``text`` denotes.

        Raises ``ValueError`` for any other text.
        """
        epoch, offset = text.split('.')
        return cls(int(epoch), int(offset))
