"""Start a daemon on the platform."""

import asyncio

from goldcrestwharf.loglines import set_up_lines
from goldcrestwharf.platform._process import run_process

if __name__ == '__main__':
    asyncio.run(run_process(set_up_lines()))
