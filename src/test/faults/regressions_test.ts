/** Runs that showed a fault once, kept as they were found. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { type RandomRun, runMix } from "./random-runs.js";

const runs = [
    {
        // A caller's cancelled task stays "running" for ever. Its worker, which compares no epochs, died; two entries
        // die after it; the home that takes over hears of the task in its first census and takes the moment of
        // adoption for the moment of the word, so that the next census, begun in the same instant, does not count.
        name: "a dead worker's task that a new home adopts",
        file: "dead-lease-only-worker.json",
    },
];

describe("runs that failed before", () => {
    for (const { name, file } of runs) {
        it(name, async () => {
            const text = readFileSync(new URL(`./regressions/${file}`, import.meta.url), "utf8");
            const { violations } = await runMix(JSON.parse(text) as RandomRun);
            assert.deepEqual(violations, []);
        });
    }
});
