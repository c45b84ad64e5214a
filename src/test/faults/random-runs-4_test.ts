/** Random mixes of work and faults, part 4 of 8: the files run in parallel. */
import { describe, it } from "node:test";
import { checkRandomRuns } from "./random-runs.js";

const SEED = 400;
const RUNS = 250;

describe("random faults, part 4", () => {
    it(`keeps every guarantee in ${RUNS} runs`, async () => {
        await checkRandomRuns(SEED, RUNS);
    });
});
