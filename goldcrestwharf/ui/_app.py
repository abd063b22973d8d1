"""The command line application, on which the commands register."""

import typer

app = typer.Typer(
    name='goldcrestwharf',
    help='Distribute checked configuration to every proxy of a mesh.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


def main() -> None:
    """Run the command line."""
    app()
