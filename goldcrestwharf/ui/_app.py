"""Define the command line that the commands register on."""

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
