/** Tasks that wait beside capacity which a gang without enough of it keeps. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { CORE, HOST, LeaderCell, makeJobId, makeSpec, QUEUE, readJobNumber } from "./leader-cell.js";

const WORKERS = 8;
const SERVICE = 1;
const BATCH = 2;
const GANG = 3;
const JOB = 4;
const URGENT = { ...QUEUE, name: "urgent", pathPrefix: "/urgent/", priority: 0 };
const LASTING_MS: Millis = 3_600_000;
/** The service is old when its task fails. */
const SERVICE_AGE_MS: Millis = 14_000;
const BATCH_MS: Millis = 15_000;
const GANG_MS: Millis = 6_000;
/** A task that lasts runs again at the latest this long after its last run. */
const MAX_AWAY_MS: Millis = 9_000;
/** A job has a run at the latest this long after the last job arrived. */
const MAX_QUIET_WAIT_MS: Millis = 14_000 + 3_000;

interface Case {
    readonly name: string;
    readonly batchMs?: Millis;
    /** Estimate of the run time of the batch tasks. */
    readonly estimateMs?: Millis;
    readonly gang?: Partial<StepSpec>;
    readonly isGangUrgent?: boolean;
    readonly serviceCores?: number;
}

const CASES: readonly Case[] = [
    { name: "with true estimates" },
    { name: "of a more urgent queue", isGangUrgent: true },
    {
        name: "whose batch runs take five times as long as estimated",
        isGangUrgent: true,
        estimateMs: BATCH_MS / 5,
    },
    { name: "behind batch runs of a minute", isGangUrgent: true, batchMs: 60_000, estimateMs: 60_000 },
    { name: "that needs all that the service leaves", isGangUrgent: true, gang: { taskCount: 28 } },
    {
        name: "beside a task as large as a worker",
        isGangUrgent: true,
        gang: { taskCount: 28 },
        serviceCores: 4,
    },
];

class Play {
    readonly cell = new LeaderCell(WORKERS);

    constructor(private readonly options: Case) {
        const { batchMs = BATCH_MS, serviceCores = 1 } = options;
        const runMs = new Map([[SERVICE, LASTING_MS], [BATCH, batchMs], [GANG, GANG_MS]]);
        this.cell.config = { ...this.cell.config, queues: [QUEUE, URGENT] };
        this.cell.getBehavior = (task, run) => {
            const job = readJobNumber(task);
            const isFirst = job === SERVICE && run === 1;
            return {
                demand: job === SERVICE ? this.makeServiceDemand(serviceCores) : CORE,
                runMs: isFirst ? SERVICE_AGE_MS : runMs.get(job) ?? 1_000,
                end: isFirst ? "failed" : "done",
            };
        };
    }

    /** Lets the service's task fail while the gang waits, and returns for how long it is away. */
    async run(): Promise<{ readonly awayMs: Millis; readonly gangStarts: number; }> {
        const { cell, options } = this;
        const { batchMs = BATCH_MS, estimateMs = BATCH_MS, serviceCores = 1, gang, isGangUrgent } = options;
        const leader = await cell.startLeader();
        await cell.clock.step(300);
        const demand = this.makeServiceDemand(serviceCores);
        await cell.submit(leader, SERVICE, makeSpec({ isLongRunning: true, estimateMs: 400, demand }));
        await cell.clock.step(SERVICE_AGE_MS - 1_000);
        await cell.submit(leader, BATCH, makeSpec({ taskCount: 15, estimateMs }));
        await cell.clock.step(500);
        const prefix = isGangUrgent === true ? URGENT.pathPrefix : QUEUE.pathPrefix;
        const spec = makeSpec({ taskCount: 20, isGang: true, estimateMs: GANG_MS, ...gang });
        void leader.leader.serve({ kind: "submit", host: HOST, path: `${prefix}${makeJobId(GANG)}`, spec });
        const isBack = (): boolean => cell.countStarts(SERVICE) === 2;
        await cell.clock.step(300);
        // The gang waits already when the task fails.
        assert.equal(isBack(), false);
        const failedAt = (cell.starts[0]?.at ?? 0) + SERVICE_AGE_MS;
        while (!isBack() && cell.clock.now() < failedAt + LASTING_MS) {
            await cell.clock.step(100);
        }
        const awayMs = cell.clock.now() - failedAt;
        await cell.clock.step(batchMs + 5_000);
        assert.deepEqual(cell.faults, []);
        return { awayMs, gangStarts: cell.countStarts(GANG) };
    }

    private makeServiceDemand(cores: number): typeof CORE {
        return { ...CORE, cpuMillis: cores * CORE.cpuMillis };
    }
}

describe("a service's task that has failed", () => {
    for (const testCase of CASES) {
        // The gang goes first and keeps all free capacity until the batch runs have ended.
        it(`starts again in time beside a gang that waits, ${testCase.name}`, async () => {
            const { awayMs, gangStarts } = await new Play(testCase).run();
            assert.ok(awayMs <= MAX_AWAY_MS, `away for ${awayMs} ms`);
            assert.equal(gangStarts, testCase.gang?.taskCount ?? 20);
        });
    }
});

describe("a job of one task", () => {
    // The gang keeps all free capacity for as long as the batch runs go on.
    it("starts beside a gang that waits, once no more jobs arrive", async () => {
        const play = new Play({ name: "", batchMs: 60_000 });
        const { cell } = play;
        const leader = await cell.startLeader();
        await cell.clock.step(300);
        await cell.submit(leader, BATCH, makeSpec({ taskCount: 15, estimateMs: 60_000 }));
        const spec = makeSpec({ taskCount: 20, isGang: true, estimateMs: GANG_MS });
        const path = `${URGENT.pathPrefix}${makeJobId(GANG)}`;
        void leader.leader.serve({ kind: "submit", host: HOST, path, spec });
        await cell.clock.step(100);
        await cell.submit(leader, JOB, makeSpec({}));
        await cell.clock.step(MAX_QUIET_WAIT_MS);
        assert.equal(cell.countStarts(JOB), 1);
        assert.deepEqual(cell.faults, []);
    });
});
