import pathlib

import behave

from papayaloom.bench import fault_matrix


@behave.then(
    'every cell of the fault matrix keeps its properties and the page is'
    ' current',
)
def page_is_current(context):
    committed = pathlib.Path('docs/faults.md').read_text()
    assert fault_matrix.render_page() == committed, (
        'run `python -m papayaloom.bench.fault_matrix > docs/faults.md`'
    )
