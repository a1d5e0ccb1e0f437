"""Entry point with a short start-up time.

Importing the libraries allocates many objects and hardly any garbage, so the
garbage collector stays off until the process is about to serve.
"""

import gc

gc.disable()

from papayaloom.platform import main  # noqa: E402

if __name__ == '__main__':
    main.main()
