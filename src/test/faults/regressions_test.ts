/** Replays random runs that once failed, with their data unchanged. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { type RandomRun, runRandomMix } from "./random-runs.js";

const runs = [
    {
        // Guards against a cancelled task that stays "running" forever. Its worker, which compares no epochs,
        // dies, then two entries. The new home learned of the task from its first census and used the time of
        // adoption as the time of the report, so that the next census, begun at the same instant, did not
        // count.
        name: "a dead worker's task that a new home adopts",
        file: "dead-lease-only-worker.json",
    },
];

describe("random runs that failed before", () => {
    for (const { name, file } of runs) {
        it(name, async () => {
            const text = readFileSync(new URL(`./regressions/${file}`, import.meta.url), "utf8");
            const { violations } = await runRandomMix(JSON.parse(text) as RandomRun);
            assert.deepEqual(violations, []);
        });
    }
});
