/** Checks that relative links in Markdown pages point to existing files. */
import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";

const LINK = /\]\(([^)#:]+)(?:#[^)]*)?\)/g;

function listPages(): readonly string[] {
    const below = readdirSync("docs", { recursive: true }).map(name => join("docs", String(name)));
    return ["README.md", "CONTRIBUTING.md", ...below.filter(path => path.endsWith(".md"))];
}

describe("pages", () => {
    for (const page of listPages()) {
        it(`${page} links to existing files`, () => {
            const targets = [...readFileSync(page, "utf8").matchAll(LINK)].map(([, target]) => target ?? "");
            const broken = targets.filter(target => !existsSync(join(dirname(page), target)));
            assert.deepEqual(broken, []);
        });
    }
});
