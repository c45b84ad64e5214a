/** Checks that docs/WARNINGS.md lists the code of every warning and error. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { it } from "node:test";

const CODE = /"(CR\d{4})"/g;

function listCodes(): readonly string[] {
    const files = ["src", "platform"]
        .flatMap(folder =>
            readdirSync(folder, { recursive: true, encoding: "utf8" }).map(name => `${folder}/${name}`)
        )
        .filter(name => name.endsWith(".ts") && !name.includes("/test/"));
    const codes = files.flatMap(name =>
        [...readFileSync(name, "utf8").matchAll(CODE)].map(([, code]) => code ?? "")
    );
    return [...new Set(codes)].sort();
}

it("documents every code", () => {
    const page = readFileSync("docs/WARNINGS.md", "utf8");
    const codes = listCodes();
    assert.ok(codes.length > 10);
    assert.deepEqual(codes.filter(code => !page.includes(`| ${code} |`)), []);
});
