"""Start a daemon on the platform."""

import importlib
import signal

if __name__ == '__main__':
    # SIGHUP asks for a reload of the settings, but ends the process by
    # default. A reload that is asked for during the imports may be ignored,
    # because the settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    allocator = importlib.import_module('goldcrestwharf.platform._allocator')
    allocator.return_large_blocks()
    importlib.import_module('goldcrestwharf.platform._process').main()
