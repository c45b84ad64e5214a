/** Random mixes of work and faults, part 5 of 8: the files run in parallel. */
import { describe, it } from "node:test";
import { checkRandomRuns } from "./random-runs.js";

const SEED = 500;
const RUNS = 250;

describe("random faults, part 5", () => {
    it(`keeps every guarantee in ${RUNS} runs`, async () => {
        await checkRandomRuns(SEED, RUNS);
    });
});
