/**
 * A queue of which many jobs crash their workers for a while, on a pool most of whose workers run services. Its
 * callers go on for long after that, and try again when they are refused.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { CallerReply } from "../../process/leader/requests.js";
import { CrashCell } from "./crash-cell.js";
import { CORE, HOST, makeJobId, makeSpec, QUEUE, readJobNumber } from "./leader-cell.js";

const WORKERS = 30;
/** Workers that run a service, on which nothing that may crash them is started. */
const SERVED = 19;
const SERVICE = 1;
const DOWN_MS: Millis = 3_000;
const TICK_MS: Millis = 50;
const LOAD_MS: Millis = 30_000;
/** When jobs that crash their workers arrive. */
const CRASHING_FROM_MS: Millis = 3_000;
const CRASHING_UNTIL_MS: Millis = 15_000;
const RISKY_PREFIX = "/risky/";
const FIRST_RISKY = 1_000;
const RUN_MS: Millis = 700;
const MAX_RETRIES = 4;
/** Time after the load from which no accepted job may wait for long with nothing running. */
const FINISH_MS: Millis = 14_000;
const MAX_WAIT_MS: Millis = 3_000;
/** Fewest jobs that complete, as a queue that is refused altogether leaves none waiting. */
const MIN_COMPLETED = 150;

interface Case {
    readonly name: string;
    /** Every how many of the jobs crash their workers. */
    readonly crashingEvery: number;
    readonly step?: Partial<StepSpec>;
    /** When the leader is replaced. */
    readonly leadersLostAt?: readonly Millis[];
}

interface Outcome {
    readonly completed: number;
    /** Steps of accepted jobs that could run and have nothing running. */
    readonly waiting: readonly string[];
    /** Harmless jobs shown as failed. */
    readonly harmlessFailed: readonly string[];
    readonly faults: readonly string[];
}

class Load {
    readonly accepted = new Set<number>();
    private readonly crashCell: CrashCell;
    private readonly crashing = new Set<number>();
    private next = FIRST_RISKY;
    private isOver = false;

    constructor(private readonly options: Case) {
        this.crashCell = new CrashCell({
            workers: WORKERS,
            downMs: DOWN_MS,
            isCrashing: task => task.endsWith(".0") && this.crashing.has(readJobNumber(task)),
        });
        const { cell } = this.crashCell;
        const risky = { ...QUEUE, name: "risky", pathPrefix: RISKY_PREFIX, stretch: 1.5, targetMs: 250 };
        cell.config = { ...cell.config, queues: [QUEUE, risky] };
        cell.getBehavior = task => ({
            demand: CORE,
            runMs: readJobNumber(task) === SERVICE ? 3_600_000 : RUN_MS,
            end: "done",
        });
    }

    async play(): Promise<Outcome> {
        const { crashCell, options } = this;
        const { cell } = crashCell;
        await crashCell.startLeader();
        const service = { taskCount: SERVED, maxPerWorker: 1, isLongRunning: true };
        await cell.submit(crashCell.leader, SERVICE, makeSpec(service));
        for (let at = 0; at < LOAD_MS; at += TICK_MS) {
            if (options.leadersLostAt?.includes(at) === true) {
                await crashCell.startLeader();
            }
            this.submitNew(at);
            await cell.clock.step(TICK_MS);
        }
        this.isOver = true;
        await cell.clock.step(FINISH_MS + MAX_WAIT_MS);
        return this.collectOutcome();
    }

    private submitNew(at: Millis): void {
        const job = this.next;
        this.next += 1;
        const isSpell = at >= CRASHING_FROM_MS && at < CRASHING_UNTIL_MS;
        if (isSpell && job % this.options.crashingEvery === 0) {
            this.crashing.add(job);
        }
        void this.submit(job, MAX_RETRIES);
    }

    private async submit(job: number, retries: number): Promise<void> {
        const { cell, leader } = this.crashCell;
        const path = `${RISKY_PREFIX}${makeJobId(job)}`;
        const spec = makeSpec({ taskCount: 3, estimateMs: RUN_MS, ...this.options.step });
        const reply: CallerReply = await leader.leader.serve({ kind: "submit", host: HOST, path, spec });
        if (reply.kind === "accepted") {
            this.accepted.add(job);
        }
        else if (reply.kind === "refused" && retries > 0) {
            cell.clock.schedule(reply.retryAfterMs, () => {
                if (!this.isOver) {
                    void this.submit(job, retries - 1);
                }
            });
        }
    }

    private collectOutcome(): Outcome {
        const { cell, leader } = this.crashCell;
        const getPhase = (job: number): string => leader.jobs.get(makeJobId(job))?.phase ?? "unknown";
        const jobs = [...this.accepted];
        return {
            completed: jobs.filter(job => getPhase(job) === "completed").length,
            waiting: [...leader.jobs.listRunnable()].filter(step => step.assigned === 0).map(step =>
                step.name
            ),
            harmlessFailed: jobs.filter(job => !this.crashing.has(job) && getPhase(job) === "failed")
                .map(makeJobId),
            faults: cell.faults,
        };
    }
}

const CASES: readonly Case[] = [
    { name: "a third of the jobs crash workers", crashingEvery: 3 },
    { name: "a sixth of the jobs crash workers", crashingEvery: 6 },
    { name: "a third of the gangs crash workers", crashingEvery: 3, step: { isGang: true } },
    {
        name: "a third of the jobs crash workers and leaders are lost",
        crashingEvery: 3,
        leadersLostAt: [8_000, 20_000],
    },
];

describe("a queue that crashes workers for a while", () => {
    for (const testCase of CASES) {
        it(`leaves no accepted job waiting long after its load, where ${testCase.name}`, async () => {
            const { completed, waiting, harmlessFailed, faults } = await new Load(testCase).play();
            assert.deepEqual(faults, []);
            assert.deepEqual(waiting, []);
            assert.deepEqual(harmlessFailed, []);
            assert.ok(completed >= MIN_COMPLETED, `${completed} jobs have completed`);
        });
    }
});
