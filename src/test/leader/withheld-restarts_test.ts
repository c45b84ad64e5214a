/** Tasks that were lost or have failed, and wait beside free capacity that a safeguard keeps. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { CrashCell } from "./crash-cell.js";
import type { LeaderCell } from "./leader-cell.js";
import { CORE, HOST, makeJobId, makeSpec, QUEUE, readJobNumber } from "./leader-cell.js";

const WORKERS = 12;
const AGENTS = 1;
const FIRST_SERVICE = 10;
const SERVICE_PREFIX = "/services/";
const LASTING_MS: Millis = 3_600_000;
/** The same for a worker that does not come back, whose loss is an impairment of 4.5 s: its lease has to expire first. */
const MAX_AWAY_AFTER_LOSS_MS: Millis = 11_500;
/** A lost task runs again at the latest this long after its last run. */
const MAX_AWAY_MS: Millis = 9_000;

interface Case {
    readonly name: string;
    /** Steps of one job each, on the queue whose tasks run on the workers that crash. */
    readonly jobs: readonly Partial<StepSpec>[];
    /** Time from the deployment of the jobs to the crash. */
    readonly crashAfterMs: Millis;
    readonly crashes: number;
    readonly hasNewLeader?: boolean;
}

const SERVICE: Partial<StepSpec> = { taskCount: 8, isLongRunning: true, maxPerWorker: 1, estimateMs: 400 };
const SERVICES = [SERVICE, SERVICE, SERVICE];

const CASES: readonly Case[] = [
    { name: "services just after their deployment", jobs: SERVICES, crashAfterMs: 250, crashes: 4 },
    { name: "services at their deployment", jobs: SERVICES, crashAfterMs: 30, crashes: 4 },
    { name: "services on half of the workers", jobs: SERVICES, crashAfterMs: 30, crashes: 6 },
    {
        name: "services just after their deployment, under a new leader",
        jobs: SERVICES,
        crashAfterMs: 250,
        crashes: 4,
        hasNewLeader: true,
    },
    {
        name: "jobs of a pool that is used little",
        jobs: SERVICES.map(step => ({ ...step, taskCount: 3, isLongRunning: false, estimateMs: 8_000 })),
        crashAfterMs: 30,
        crashes: 3,
    },
];

function addServiceQueue(cell: LeaderCell): void {
    const services = { ...QUEUE, name: "services", pathPrefix: SERVICE_PREFIX };
    cell.config = { ...cell.config, queues: [QUEUE, services] };
}

/** Loses some workers at once, and lists the tasks that run nowhere later on. */
async function listAway({ jobs, crashAfterMs, crashes, hasNewLeader }: Case): Promise<readonly string[]> {
    const crashCell = new CrashCell({ workers: WORKERS, downMs: 1_500, isCrashing: () => false });
    const { cell } = crashCell;
    addServiceQueue(cell);
    cell.getBehavior = () => ({ demand: CORE, runMs: LASTING_MS, end: "done" });
    const { leader } = await crashCell.startLeader();
    await cell.submit(crashCell.leader, AGENTS, makeSpec({ ...SERVICE, taskCount: WORKERS }));
    await cell.clock.step(2_000);
    jobs.forEach((step, index) => {
        const path = `${SERVICE_PREFIX}${makeJobId(FIRST_SERVICE + index)}`;
        void leader.serve({ kind: "submit", host: HOST, path, spec: makeSpec(step) });
    });
    await cell.clock.step(20 + crashAfterMs);
    const lost = new Set(cell.starts.slice(WORKERS).map(({ workerId }) => workerId).slice(0, crashes));
    assert.equal(lost.size, crashes);
    const tasks = cell.starts.filter(({ workerId }) => lost.has(workerId)).map(({ task }) => task);
    const crashedAt = cell.clock.now();
    lost.forEach(workerId => crashCell.killWorker(workerId));
    if (hasNewLeader === true) {
        await cell.clock.step(300);
        await crashCell.startLeader();
    }
    await cell.clock.step(crashedAt + MAX_AWAY_MS - cell.clock.now());
    assert.deepEqual(cell.faults, []);
    const restarted = new Set(cell.starts.filter(({ at }) => at > crashedAt).map(({ task }) => task));
    return tasks.filter(task => !restarted.has(task));
}

describe("tasks lost in one crash of several workers", () => {
    for (const testCase of CASES) {
        // The queue is on probation, no worker is idle, and the workers with capacity are dedicated to it.
        it(`run again in time, where they are ${testCase.name}`, async () => {
            assert.deepEqual(await listAway(testCase), []);
        });
    }
});

describe("services that crash each worker on which they start", () => {
    // Tasks that wait for too long start beside others, and each one could take a worker with it at the same time.
    it("cost few workers at a time where no worker is idle, and are given up", async () => {
        const services = [0, 1, 2, 3].map(index => FIRST_SERVICE + index);
        const crashCell = new CrashCell({
            workers: WORKERS,
            downMs: 1_500,
            isCrashing: task => services.includes(readJobNumber(task)),
        });
        const { cell, crashes } = crashCell;
        addServiceQueue(cell);
        cell.getBehavior = () => ({ demand: CORE, runMs: LASTING_MS, end: "done" });
        const { leader } = await crashCell.startLeader();
        await cell.submit(crashCell.leader, AGENTS, makeSpec({ ...SERVICE, taskCount: WORKERS }));
        await cell.clock.step(2_000);
        services.forEach(job => {
            const spec = makeSpec({ ...SERVICE, taskCount: 1, demand: { ...CORE, cpuMillis: 2_000 } });
            void leader.serve({
                kind: "submit",
                host: HOST,
                path: `${SERVICE_PREFIX}${makeJobId(job)}`,
                spec,
            });
        });
        await cell.clock.step(60_000);
        assert.deepEqual(cell.faults, []);
        const later = crashes.filter(({ run }) => run > 1).map(({ at }) => at);
        // The second worker at a time is allowed once the first has run its task for half a second.
        assert.ok(later.every(at => later.filter(other => Math.abs(other - at) < 400).length <= 2));
        assert.ok(crashes.length <= services.length * 3, `${crashes.length} crashes`);
        assert.equal(crashCell.leader.jobs.countOpen(), 1);
        const agents = crashCell.leader.jobs.findTask(`${makeJobId(AGENTS)}.0.0.0`)?.step;
        assert.equal(agents?.assigned, WORKERS);
    });
});

describe("a task that lasts and was lost with two workers", () => {
    // It waits for a worker to become idle, and the runs there go on for longer than estimated.
    it("starts again in time beside workers that run tasks which last", async () => {
        const batchMs = 14_000;
        const crashCell = new CrashCell({ workers: 8, downMs: LASTING_MS, isCrashing: () => false });
        const { cell } = crashCell;
        const batchJob = 100;
        cell.getBehavior = task => ({
            demand: CORE,
            runMs: readJobNumber(task) >= batchJob ? batchMs : LASTING_MS,
            end: "done",
        });
        for (const { workerId, address } of [...cell.records.values()]) {
            cell.restoreToList(workerId, address, { labels: [workerId === "w8" ? "batch" : "agents"] });
        }
        await crashCell.startLeader();
        const { leader } = crashCell;
        await cell.submit(leader, AGENTS, makeSpec({ ...SERVICE, taskCount: 7, requiredLabel: "agents" }));
        await cell.clock.step(1_000);
        let jobs = 0;
        const sendBatch = (): void => {
            jobs += 1;
            void cell.send(leader, batchJob + jobs, makeSpec({ estimateMs: 9_000, requiredLabel: "batch" }));
            cell.clock.schedule(3_500, sendBatch);
        };
        sendBatch();
        await cell.clock.step(14_000);
        await cell.submit(leader, FIRST_SERVICE, makeSpec({ ...SERVICE, taskCount: 1 }));
        for (let losses = 0; losses < 2; losses++) {
            await cell.clock.step(1_500);
            const start = cell.starts.filter(({ task }) => readJobNumber(task) === FIRST_SERVICE).at(-1);
            crashCell.killWorker(start?.workerId ?? "");
            await cell.clock.step(losses === 0 ? 6_000 : MAX_AWAY_AFTER_LOSS_MS);
        }
        assert.equal(cell.countStarts(FIRST_SERVICE), 3);
        assert.deepEqual(cell.faults, []);
    });
});
