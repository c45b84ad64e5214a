/** The soak's checker reports each kind of violated guarantee, and nothing where all are kept. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SoakChecker } from "../../../bench/soak/checker.js";
import type { SoakGuarantee } from "../../../bench/soak/checker.js";
import { JobSource } from "../../../bench/soak/job-source.js";
import type { SoakJob } from "../../../bench/soak/job-source.js";
import { createRandom } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import { FakeClock } from "../fakes/fake-clock.js";

const CAPACITY: Resources = { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 0 };

/** A checker with helpers for the test cases. */
class CheckerFixture {
    readonly clock = new FakeClock();
    readonly jobs = new JobSource(createRandom(1));
    readonly checker = new SoakChecker(this.clock, this.jobs);

    /** Makes jobs until one matches, and returns it. */
    makeJob(matches: (job: SoakJob) => boolean): SoakJob {
        for (;;) {
            const job = this.jobs.makeJob();
            if (matches(job)) {
                return job;
            }
        }
    }

    start(job: SoakJob, step: number, index: number, workerId = "w1", used = CAPACITY): void {
        const task = `${job.id}.0.${step}.${index}`;
        this.checker.observeStart(workerId, task, job.spec.payload, used, CAPACITY);
    }

    end(job: SoakJob, step: number, index: number, workerId = "w1"): void {
        this.checker.observeEnd(workerId, `${job.id}.0.${step}.${index}`, "done");
    }

    /** Starts and ends all tasks of a job in the right order. */
    runAll(job: SoakJob): void {
        job.spec.steps.forEach((step, number) => {
            for (let index = 0; index < step.taskCount; index++) {
                this.start(job, number, index);
                this.end(job, number, index);
            }
        });
    }
}

const isPlain = (job: SoakJob): boolean =>
    !job.isHopeless && job.spec.steps.every(step => !step.isGang && step.maxPerWorker === undefined);
const hasSteps = (job: SoakJob): boolean => isPlain(job) && job.spec.steps.length > 1;

describe("SoakChecker", () => {
    const cases: {
        name: string;
        play: (fixture: CheckerFixture) => Promise<void> | void;
        found: readonly SoakGuarantee[];
    }[] = [
        {
            name: "finds nothing where a job is accepted, runs and ends",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "accepted");
                fixture.runAll(job);
                fixture.checker.observeState(job.id, "completed");
            },
            found: [],
        },
        {
            name: "finds a worker that uses more than its capacity",
            play: fixture =>
                fixture.start(fixture.makeJob(isPlain), 0, 0, "w1", { ...CAPACITY, cpuMillis: 4_001 }),
            found: ["capacity"],
        },
        {
            name: "finds more tasks of a step on a worker than the step allows",
            play: fixture => {
                const job = fixture.makeJob(({ spec: { steps: [first] } }) =>
                    first?.maxPerWorker !== undefined && first.taskCount > first.maxPerWorker
                );
                for (let index = 0; index <= (job.spec.steps[0]?.maxPerWorker ?? 0); index++) {
                    fixture.start(job, 0, index);
                }
            },
            found: ["capacity"],
        },
        {
            name: "finds a task in two places",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.start(job, 0, 0, "w1");
                fixture.start(job, 0, 0, "w2");
            },
            found: ["onePlace"],
        },
        {
            name: "finds a start after a durable end",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.start(job, 0, 0);
                fixture.end(job, 0, 0);
                fixture.checker.observeAcknowledged(`${job.id}.0.0.0`);
                fixture.start(job, 0, 0, "w2");
            },
            found: ["neverAgain"],
        },
        {
            name: "allows a start after an end that was not recorded",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.start(job, 0, 0);
                fixture.end(job, 0, 0);
                fixture.start(job, 0, 0, "w2");
            },
            found: [],
        },
        {
            name: "finds a step that did not wait for the step before it",
            play: fixture => fixture.start(fixture.makeJob(hasSteps), 1, 0),
            found: ["order"],
        },
        {
            name: "finds a start without a submitted job",
            play: fixture =>
                fixture.checker.observeStart("w1", "ffffffffffffffff.0.0.0", "", CAPACITY, CAPACITY),
            found: ["asked"],
        },
        {
            name: "finds a start with another payload",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeStart("w1", `${job.id}.0.0.0`, "something else", CAPACITY, CAPACITY);
            },
            found: ["asked"],
        },
        {
            name: "finds a start too long after the cancellation",
            play: async fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeCancelSent(job.id);
                fixture.checker.observeCancelled(job.id);
                await fixture.clock.step(4_001);
                fixture.start(job, 0, 0);
            },
            found: ["asked"],
        },
        {
            name: "finds a refused job that ran",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "refused");
                fixture.start(job, 0, 0);
            },
            found: ["trueRefusal"],
        },
        {
            name: "allows a job to run whose caller got no answer",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "refused");
                fixture.checker.observeSubmit(job.id, "unknown");
                fixture.start(job, 0, 0);
            },
            found: [],
        },
        {
            name: "finds a job that is shown as completed too early",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "accepted");
                fixture.checker.observeState(job.id, "completed");
            },
            found: ["trueState"],
        },
        {
            name: "finds a job that is shown as failed although no run failed",
            play: fixture => fixture.checker.observeState(fixture.makeJob(isPlain).id, "failed"),
            found: ["trueState"],
        },
        {
            name: "finds an ended job that is shown as running again",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "accepted");
                fixture.runAll(job);
                fixture.checker.observeState(job.id, "completed");
                fixture.checker.observeState(job.id, "running");
            },
            found: ["trueState"],
        },
        {
            name: "finds an accepted job that is reported as unknown",
            play: fixture => {
                const job = fixture.makeJob(isPlain);
                fixture.checker.observeSubmit(job.id, "accepted");
                fixture.checker.observeState(job.id, "unknownJob");
                fixture.runAll(job);
                fixture.checker.observeState(job.id, "completed");
            },
            found: ["kept"],
        },
        {
            name: "finds an accepted job that never ends",
            play: fixture => fixture.checker.observeSubmit(fixture.makeJob(isPlain).id, "accepted"),
            found: ["kept"],
        },
    ];
    for (const { name, play, found } of cases) {
        it(name, async () => {
            const fixture = new CheckerFixture();
            await play(fixture);
            fixture.checker.finish();
            assert.deepEqual(fixture.checker.violations.map(({ guarantee }) => guarantee), found);
        });
    }
});
