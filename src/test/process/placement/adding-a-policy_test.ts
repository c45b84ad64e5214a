/** The example of docs/ADDING-A-POLICY.md equals first-come-policy.ts, so it compiles, and it works. */
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
    it("is the same in the page as in the compiled file", () => {
        const [, shown = ""] = /```ts\n([\s\S]*?)```/.exec(readFileSync(PAGE, "utf8")) ?? [];
        const compiled = readFileSync(EXAMPLE, "utf8").replace(
            "../../../process/placement/index.js",
            "../policy.js",
        );
        assert.equal(shown, compiled);
    });

    it("takes effect with one entry in the table of policies", () => {
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
