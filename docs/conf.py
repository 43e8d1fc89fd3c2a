"""Sphinx configuration."""

import importlib
import pkgutil
import sys
from pathlib import Path

DOCS = Path(__file__).parent
sys.path.insert(0, str(DOCS.parent))

import turmericreach  # noqa: E402 - found through the path above

project = "turmericreach"
author = "The turmericreach developers"
release = turmericreach.__version__
version = release

extensions = ["myst_parser", "sphinx.ext.autodoc", "numpydoc"]
source_suffix = {".md": "markdown"}
# Fragments of the change log are input of towncrier, not pages.
exclude_patterns = ["_build", "changes/*.feature.md", "changes/*.bugfix.md"]
html_theme = "alabaster"
html_theme_options = {"page_width": "1100px", "sidebar_width": "240px"}

myst_enable_extensions = ["colon_fence"]
myst_heading_anchors = 3

# Loaded by numpydoc, unused here: the pages of the API are written below.
autosummary_generate = False
autodoc_typehints = "none"
autodoc_member_order = "bysource"
# Members come from `__all__` of each package, so numpydoc must not list them again.
numpydoc_show_class_members = False

# The build machine may have no way out; only links between the pages are checked.
linkcheck_ignore = [r"https?://.*"]

PAGE = """# {name}

```{{eval-rst}}
.. automodule:: {name}
   :members:
   :undoc-members:
   :show-inheritance:
```
"""


def write_api_pages() -> None:
    """Write one page for each package that has a public API."""
    folder = DOCS / "api" / "packages"
    folder.mkdir(exist_ok=True)
    wanted = set()
    for module in pkgutil.iter_modules(turmericreach.__path__, "turmericreach."):
        if not module.ispkg or not hasattr(importlib.import_module(module.name), "__all__"):
            continue
        page = folder / f"{module.name}.md"
        wanted.add(page)
        text = PAGE.format(name=module.name)
        if not page.exists() or page.read_text() != text:
            page.write_text(text)
    for page in set(folder.glob("*.md")) - wanted:
        page.unlink()


write_api_pages()
