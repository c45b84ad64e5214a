/** To which jobs an account is entitled, and when a refused one is welcome. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import { JobRates } from "../../process/accounts/job-rates.js";
import { FakeClock } from "../fakes/fake-clock.js";

const ACCOUNT = { name: "a", keyDigests: [], weight: 4, quota: NO_RESOURCES };

function takeJobs(rates: JobRates, count: number): number {
    return Array.from({ length: count }, () => rates.take(ACCOUNT)).filter(Boolean).length;
}

describe("the rate of an account", () => {
    it("allows a second's worth of jobs at once", () => {
        assert.equal(takeJobs(new JobRates(new FakeClock()), 10), ACCOUNT.weight);
    });

    it("comes back with time, up to a second's worth", async () => {
        const clock = new FakeClock();
        const rates = new JobRates(clock);
        takeJobs(rates, 10);
        await clock.step(500);
        assert.equal(takeJobs(rates, 10), 2);
        await clock.step(60_000);
        assert.equal(takeJobs(rates, 10), 4);
    });

    it("gives each refused job a turn of its own", () => {
        const rates = new JobRates(new FakeClock());
        const turns = Array.from({ length: 3 }, () => rates.reserveTurn(ACCOUNT));
        assert.deepEqual(turns, [250, 500, 750]);
    });

    it("allows single jobs of a small account", async () => {
        const clock = new FakeClock();
        const rates = new JobRates(clock);
        const small = { ...ACCOUNT, weight: 0.5 };
        assert.ok(rates.take(small));
        assert.equal(rates.isEntitled(small), false);
        await clock.step(2_000);
        assert.ok(rates.isEntitled(small));
    });
});
