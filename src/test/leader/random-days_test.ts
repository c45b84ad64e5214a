/**
 * Random days (randomized simulations) of a cluster with several queues, from fixed seeds.
 *
 * Guarantees under all faults: no task runs twice at once or after it is known to be done, none starts before
 * the steps it depends on are done, no worker is over its capacity, no refused job starts, a task resumes
 * from its newest checkpoint, no task crashes more than five workers, no client account exceeds its quota, and once all faults have ended every
 * accepted job ends.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseDayOptions, RandomDay } from "./random-day.js";
import type { DayOptions } from "./random-day.js";

const SEEDS = 10;

/** Seeds of days with tasks that crash their workers. */
const CRASHING_SEEDS = [31, 36, 41, 42, 1045, 1049, 1158, 1277];
/** Seeds of days on which, in addition, the capacity of workers shrinks and grows. */
const SHRINKING_SEEDS = [3012, 3099, 3113, 5186];
const CRASHING_SHARE = 0.03;
/** Seeds of days on which client accounts with changing quotas send the jobs. */
const ACCOUNT_SEEDS = [1, 2, 3, 4, 5, 6];
/** Seeds of days on which workers start again under the name that they had. */
const NAME_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const kinds: readonly { readonly name: string; readonly change: Partial<DayOptions>; }[] = [
    { name: "all queues are restored at the end", change: {} },
    { name: "queues stay dropped", change: { leavesQueuesDropped: true } },
];

describe("random days", () => {
    /** Log events of the leaders that the days must cover. */
    const events = ["runPreempted", "snapshotWritten", "foreignRunStopped", "runsLost", "runNotStarted"];
    const cover = new Map(events.map(event => [event, 0]));

    for (let seed = 1; seed <= SEEDS; seed++) {
        const { name, change } = kinds[seed % kinds.length] as (typeof kinds)[number];
        it(`seed ${seed}, ${name}`, async () => {
            const day = new RandomDay(seed, chooseDayOptions(seed, change));
            assert.deepEqual(await day.run(), [], day.describe());
            cover.forEach((count, event) => cover.set(event, count + day.leaders.countLines(event)));
        });
    }

    for (const seed of CRASHING_SEEDS) {
        it(`seed ${seed}, tasks crash the workers that start them`, async () => {
            const day = new RandomDay(seed, chooseDayOptions(seed, { crashingShare: CRASHING_SHARE }));
            assert.deepEqual(await day.run(), [], day.describe());
            assert.ok(day.leaders.countLines("taskGivenUp") > 0);
        });
    }

    for (const seed of SHRINKING_SEEDS) {
        it(`seed ${seed}, tasks crash workers, and workers shrink and grow`, async () => {
            const change = { crashingShare: CRASHING_SHARE, shrinksWorkers: true };
            const day = new RandomDay(seed, chooseDayOptions(seed, change));
            assert.deepEqual(await day.run(), [], day.describe());
        });
    }

    for (const seed of ACCOUNT_SEEDS) {
        it(`seed ${seed}, client accounts have quotas, which change`, async () => {
            const day = new RandomDay(seed, chooseDayOptions(seed, { hasAccounts: true }));
            assert.deepEqual(await day.run(), [], day.describe());
        });
    }

    for (const seed of NAME_SEEDS) {
        it(`seed ${seed}, workers start again under their name`, async () => {
            const change = { keepsWorkerNames: true, hasAccounts: seed % 2 === 0 };
            const day = new RandomDay(seed, chooseDayOptions(seed, change));
            assert.deepEqual(await day.run(), [], day.describe());
        });
    }

    it("cover preemption, snapshots, lost and refused runs", () => {
        const missing = [...cover].filter(([, count]) => count === 0).map(([event]) => event);
        assert.deepEqual(missing, []);
    });
});
