"""Cases of an independent review, each a folder with a claim and a script.

The scripts run with the libraries of the deployed build, which lack those of some stand-ins.  So
the package of the stand-ins is entered here without its own imports, and each case imports what it
needs.
"""

import sys
from pathlib import Path
from types import ModuleType

_STANDINS = "waxwingglade.standins"

if _STANDINS not in sys.modules:
    _package = ModuleType(_STANDINS)
    _package.__path__ = [str(Path(__file__).parent.parent / "waxwingglade" / "standins")]
    sys.modules[_STANDINS] = _package
