/** The example of docs/ADDING-A-POLICY.md is the file beside this test, so it compiles, and it decides. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { createPlacementCore, POLICIES } from "../../../process/placement/index.js";
import { makeItem, makeSettings, makeWorker } from "./core-fixture.js";
import { firstComePolicy } from "./first-come-policy.js";

const PAGE = "docs/ADDING-A-POLICY.md";
const EXAMPLE = "src/test/process/placement/first-come-policy.ts";

describe("the example policy", () => {
    it("stands in the page as it compiles here", () => {
        const [, shown = ""] = /```ts\n([\s\S]*?)```/.exec(readFileSync(PAGE, "utf8")) ?? [];
        const compiled = readFileSync(EXAMPLE, "utf8").replace(
            "../../../process/placement/index.js",
            "../policy.js",
        );
        assert.equal(shown, compiled);
    });

    it("decides with one row in the table", () => {
        const core = createPlacementCore({ policies: { ...POLICIES, firstCome: firstComePolicy } });
        core.setSettings(makeSettings({ batch: { policy: "firstCome" } }));
        for (const index of [0, 1]) {
            core.upsertWorker(makeWorker(index));
            core.setWorkerOpen(`w${index}`, true);
        }
        core.enqueue(makeItem("later", "batch", { queuedAt: 20, team: "team-b" }), 20);
        core.enqueue(makeItem("sooner", "batch", { queuedAt: 10 }), 20);
        const started = core.decide(20, createRandom(1)).map(decision =>
            decision.kind === "start" && decision.item.id
        );
        assert.deepEqual(started, ["sooner", "later"]);
        assert.notEqual(core.findWorkerOf("sooner"), core.findWorkerOf("later"));
    });
});
