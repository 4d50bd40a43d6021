"""Selects the form of the program under test before any test imports it.

Tests run the interpreted sources unless INGRESS_COMPILED is "require".  Processes that tests start
inherit the setting.
"""

import os

from ingress.compilation import MODE_VARIABLE, select_form

os.environ.setdefault(MODE_VARIABLE, "off")
FORM = select_form()
