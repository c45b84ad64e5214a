/** Checks that the committed generated pages match what `npm run docs` would write. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { ENTRY_EXAMPLE, renderPages } from "../../docs/pages.js";
import { parseEntrySettings } from "../../process/entry-settings/index.js";

describe("generated pages", () => {
    for (const [path, text] of renderPages()) {
        it(`${path} is up to date`, () => {
            assert.equal(readFileSync(path, "utf8"), text, "run `npm run docs` and commit the result");
        });
    }

    it("show an example that is valid", () => {
        assert.equal(parseEntrySettings(JSON.stringify(ENTRY_EXAMPLE)).kind, "valid");
    });
});
