"""Order the versions of the configuration."""

import attrs


@attrs.frozen(order=True)
class Version:
    """Name a version by the log's epoch and the record's offset in it.

    The epoch rises only by an operator's command, after the platform's log
    was replaced and its offsets began anew.
    """

    epoch: int
    offset: int

    def __str__(self) -> str:
        """Return the form that people read and type, such as ``1.412``."""
        return f'{self.epoch}.{self.offset}'

    @classmethod
    def parse(cls, written: str) -> 'Version':
        """Return the version that ``written`` names.

        Raises ``ValueError`` for any other text.
        """
        epoch, offset = written.split('.')
        return cls(int(epoch), int(offset))
