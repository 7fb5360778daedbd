"""Tests that pages stay in step with the code: manual pages and the formats of section 3.15."""

import os
import re
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def read(name):
    with open(os.path.join(ROOT, name), encoding="utf-8") as f:
        return f.read()


class Pages(unittest.TestCase):
    def test_check_compares_the_manual_pages(self):
        """Guards against manual pages that fall behind the help texts unseen."""
        recipe = re.search(r"^check:.*\n((?:\t.*\n)+)", read("Makefile"), re.M).group(1)
        self.assertIn("\t$(MAKE) man-check\n", recipe)

    def test_design_names_the_fields_of_the_head(self):
        """Guards against fields of config/head that section 3.15 does not name."""
        code = read("rules/head.c").split("*parts_json")[1].split("json_dumps")[0]
        fields = re.findall(r'"(\w+)",', code)
        self.assertGreaterEqual(len(fields), 11)
        object_text = re.search(r"`config/head` = `(.*?)`", read("docs/design.md"), re.S).group(1)
        for field in fields:
            self.assertIn(f'"{field}"', object_text)

    def test_design_names_the_number_of_change_ids(self):
        """Guards against a limit in the page that the code does not keep."""
        limit = re.search(r"#define HT_RULES_RECENT (\d+)", read("rules/rules.h")).group(1)
        design = read("docs/design.md")
        self.assertRegex(design, rf"included, at most {limit};")
        self.assertIn(f"last {limit} change ids", design)

    def test_design_names_the_entries_of_differences(self):
        """Guards against a page without the form of entries in ConfigData."""
        self.assertIn("`NUMBER LINE`", read("docs/design.md"))


if __name__ == "__main__":
    unittest.main()
