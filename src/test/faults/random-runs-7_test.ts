/** Random mixes of work and faults, part 7 of 8: the files run in parallel. */
import { describe, it } from "node:test";
import { checkRandomRuns } from "./random-runs.js";

const SEED = 700;
const RUNS = 250;

describe("random faults, part 7", () => {
    it(`keeps every guarantee in ${RUNS} runs`, async () => {
        await checkRandomRuns(SEED, RUNS);
    });
});
