"""Start a daemon on the platform."""

import importlib
import signal

if __name__ == '__main__':
    # The settings are read after this, so a reload that is asked for while
    # the rest is imported is done by then; by default it ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('goldcrestwharf.platform._process').main()
