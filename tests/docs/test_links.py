from __future__ import annotations

import re
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ +(.+)$", re.MULTILINE)
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)


def list_pages() -> list[Path]:
    """Return all pages of the documentation."""
    return [ROOT / "README.md", *sorted(DOCS.rglob("*.md"))]


def list_links(page: Path) -> list[str]:
    """Return the links of a page."""
    return LINK.findall(FENCE.sub("", page.read_text()))


def list_anchors(page: Path) -> set[str]:
    """Return the anchors that a page's headings make."""
    headings = HEADING.findall(FENCE.sub("", page.read_text()))
    plain = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {heading.strip().replace(" ", "-") for heading in plain}


def find_broken(page: Path) -> list[str]:
    """Return the links of a page that lead nowhere."""
    broken = []
    for link in list_links(page):
        if "://" in link:
            continue
        name, _, anchor = link.partition("#")
        other = (page.parent / name).resolve() if name else page
        if not other.exists() or (anchor and anchor not in list_anchors(other)):
            broken.append(link)
    return broken


class LinkTests(TestCase):
    def test_every_link_leads_somewhere(self):
        broken = {
            str(page.relative_to(ROOT)): find_broken(page) for page in list_pages()
        }
        self.assertEqual({page: links for page, links in broken.items() if links}, {})

    def test_every_page_can_be_reached_from_the_index(self):
        reached: set[Path] = set()
        waiting = [DOCS / "index.md"]
        while waiting:
            page = waiting.pop()
            if page in reached or page.suffix != ".md" or not page.exists():
                continue
            reached.add(page)
            for link in list_links(page):
                if "://" not in link:
                    waiting.append((page.parent / link.partition("#")[0]).resolve())
        self.assertEqual(set(DOCS.rglob("*.md")) - reached, set())

    def test_pages_were_found(self):
        self.assertGreater(sum(len(list_links(page)) for page in list_pages()), 8)
