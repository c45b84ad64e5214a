/** To which jobs an account is entitled, and when a refused one is welcome. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import { JobRates } from "../../process/accounts/job-rates.js";
import { FakeClock } from "../fakes/fake-clock.js";

const ACCOUNT = { name: "a", keyDigests: [], weight: 4, quota: NO_RESOURCES };

let lastJob = 0;

function makeId(): string {
    lastJob += 1;
    return `job-${lastJob}`;
}

function takeJob(rates: JobRates, account = ACCOUNT, jobId = makeId()): boolean {
    const isEntitled = rates.isEntitled(account, jobId);
    rates.take(account, jobId);
    return isEntitled;
}

function takeJobs(rates: JobRates, count: number): number {
    return Array.from({ length: count }, () => takeJob(rates)).filter(Boolean).length;
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
        const turns = Array.from({ length: 3 }, () => rates.reserveTurn(ACCOUNT, makeId()));
        assert.deepEqual(turns, [250, 500, 750]);
    });

    it("allows single jobs of a small account", async () => {
        const clock = new FakeClock();
        const rates = new JobRates(clock);
        const small = { ...ACCOUNT, weight: 0.5 };
        assert.ok(takeJob(rates, small));
        assert.equal(rates.isEntitled(small, makeId()), false);
        await clock.step(2_000);
        assert.ok(rates.isEntitled(small, makeId()));
    });

    it("goes to new jobs before those that come back", async () => {
        // Guards against an account beyond its rate all of whose jobs run late, as each waits for its turn.
        const clock = new FakeClock();
        const rates = new JobRates(clock);
        takeJobs(rates, ACCOUNT.weight);
        const refused = Array.from({ length: 20 }, makeId);
        refused.forEach(jobId => rates.reserveTurn(ACCOUNT, jobId));
        await clock.step(1_000);
        const late = refused.slice(ACCOUNT.weight);
        assert.equal(late.filter(jobId => rates.isEntitled(ACCOUNT, jobId)).length, 0);
        assert.equal(takeJobs(rates, 10), ACCOUNT.weight);
    });

    it("keeps the turn of a job that comes back too early", async () => {
        // Guards against a caller that is put off further with each retry.
        const clock = new FakeClock();
        const rates = new JobRates(clock);
        const jobId = makeId();
        assert.equal(rates.reserveTurn(ACCOUNT, jobId), 250);
        rates.reserveTurn(ACCOUNT, makeId());
        await clock.step(100);
        assert.equal(rates.reserveTurn(ACCOUNT, jobId), 150);
        await clock.step(150);
        assert.equal(rates.isEntitled(ACCOUNT, jobId), true);
    });

    it("is not given anew by a new leader", () => {
        // Guards against an account that sends many times its rate and starts afresh with each leader.
        const clock = new FakeClock();
        const now = clock.wallNow();
        const accepted = [
            { account: "a", isBeyondRate: false, acceptedAt: now - 100 },
            { account: "a", isBeyondRate: false, acceptedAt: now - 900 },
            { account: "a", isBeyondRate: true, acceptedAt: now - 100 },
            { account: "a", isBeyondRate: false, acceptedAt: now - 5_000 },
            { account: "b", isBeyondRate: false, acceptedAt: now },
        ];
        assert.equal(takeJobs(new JobRates(clock, accepted), 10), 2);
    });
});
