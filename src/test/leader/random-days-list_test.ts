/** A random day with an advice service that goes by the worker list. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseDayOptions, RandomDay } from "./random-day.js";

describe("an advice service that leaves out workers while they are not in the worker list", () => {
    it("seed 700020: keeps no job from ending", async () => {
        // A caller's accepted gang is never run, with room free. A worker's entry is away while a question that names it is
        // answered, so it is left out; it is back a second later, and the leader takes it for denied for as long as it leads.
        // The workers that it knows to be allowed are too few for the gang.
        const day = new RandomDay(700_020, chooseDayOptions(700_020, { advisesByList: true }));
        assert.deepEqual(await day.run(), [], day.describe());
    });
});
