"""Entry point that starts quickly.

Importing the libraries makes many objects and hardly any garbage, so the
collector only costs time until the process serves.
"""

import gc

gc.disable()

from papayaloom.platform import main  # noqa: E402

if __name__ == '__main__':
    main.main()
