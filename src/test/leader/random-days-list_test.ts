/** A random day with an advice service that allows only listed workers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseDayOptions, RandomDay } from "./random-day.js";

describe("an advice service that leaves out workers that are not in the worker list", () => {
    it("seed 700020: does not keep jobs from ending", async () => {
        // An accepted gang never started although capacity was free: a worker was unlisted while a request
        // that names it was answered, so the answer left it out. It was listed again a second later, but the
        // leader treated it as denied for as long as it led, and the remaining allowed workers were too few
        // for the gang.
        const day = new RandomDay(700_020, chooseDayOptions(700_020, { advisesByList: true }));
        assert.deepEqual(await day.run(), [], day.describe());
    });
});
