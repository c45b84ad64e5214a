/**
 * What durability costs: store writes for each task start with start markers for all tasks, for a few, or for
 * none; the size of the ring; and the time to read a slice back after a take-over.
 */
import { buildImage } from "../src/process/home/log/index.js";
import type { HomeEntry } from "../src/process/home/state/index.js";
import { listSnapshotItems } from "../src/process/home/state/index.js";
import { StoreModel } from "../src/stand-ins/store-model.js";
import { FakeClock } from "../src/test/fakes/fake-clock.js";
import { CALLER, HomeCell, makeSpec, makeSubmit } from "../src/test/process/home/home-cell.js";
import { LogOwner, SLICE } from "../src/test/process/home/log/log-owner.js";
import { HOME_SLICES } from "../src/version/settings.js";
import type { Bench, BenchOptions, BenchReport, FigureTable } from "./lib/bench.js";
import { computePercentile, formatFigure } from "./lib/figures.js";

const PEAK_STARTS_PER_SECOND = 250;
const JOBS_A_DAY = 39_000;
const TASKS_PER_JOB = 20;
const RUN_MS = 5_000;
const STORE_LATENCY_MS = 3;
const SECOND_MS = 1_000;
const PLACERS = ["p1", "p2", "p3", "p4", "p5", "p6"];
const SHARES = [0, 0.05, 1];

interface WriteFigures {
    readonly writesPerStart: number;
    readonly writesPerSecond: number;
    readonly startP50: number;
    readonly startP99: number;
}

/** Hands jobs in at a steady rate to one slice and counts its writes. */
async function measureWrites(share: number, startsPerSecond: number, seconds: number): Promise<WriteFigures> {
    const cell = new HomeCell(PLACERS);
    const entry = cell.addEntry("h1");
    await cell.openSliceAt(entry);
    entry.store.latencyMs = STORE_LATENCY_MS;
    const submittedAt = new Map<string, number>();
    const waits: number[] = [];
    cell.handleOrder = (placer, order) => {
        waits.push(cell.clock.now() - (submittedAt.get(order.jobId) ?? 0));
        placer.startTask(order);
        cell.clock.schedule(RUN_MS, () => placer.report(order, { state: "done", answer: "42" }));
    };
    const jobs = Math.round(startsPerSecond * seconds / TASKS_PER_JOB);
    const spacing = seconds * SECOND_MS / jobs;
    const before = entry.store.writes;
    const marked = Math.round(1 / Math.max(share, Number.EPSILON));
    for (let job = 0; job < jobs; job++) {
        const repeatable = share === 0 || job % marked !== 0;
        submittedAt.set(`j${job}`, cell.clock.now());
        void entry.home.handleRequest(3, makeSubmit(`j${job}`, { tasks: TASKS_PER_JOB, repeatable }));
        await cell.clock.step(spacing);
    }
    await cell.clock.step(RUN_MS + SECOND_MS);
    const writes = entry.store.writes - before;
    return {
        writesPerStart: writes / waits.length,
        writesPerSecond: writes / seconds,
        startP50: computePercentile(waits, 0.5),
        startP99: computePercentile(waits, 0.99),
    };
}

async function buildWriteTable(quick: boolean): Promise<FigureTable> {
    const seconds = quick ? 10 : 60;
    const rows: (string | number)[][] = [[
        "starts/s at the slice",
        "share not repeatable",
        "store writes per start",
        "writes/s of the slice",
        "wait for start p50 ms",
        "p99 ms",
    ]];
    for (const starts of [PEAK_STARTS_PER_SECOND / HOME_SLICES, PEAK_STARTS_PER_SECOND]) {
        for (const share of SHARES) {
            const figures = await measureWrites(share, starts, seconds);
            rows.push([
                formatFigure(starts),
                share,
                formatFigure(figures.writesPerStart),
                formatFigure(figures.writesPerSecond),
                formatFigure(figures.startP50),
                formatFigure(figures.startP99),
            ]);
        }
    }
    return {
        title: `Store writes, jobs of ${TASKS_PER_JOB} tasks (fake clock, store ${STORE_LATENCY_MS} ms)`,
        rows,
    };
}

/** Fills a slice with ended jobs, as many as a day leaves. */
async function fillSlice(owner: LogOwner, clock: FakeClock, jobs: number): Promise<void> {
    for (let job = 0; job < jobs; job++) {
        const jobId = `job-${job}`;
        const ends = Array.from({ length: TASKS_PER_JOB }, (_, index) => ({
            index,
            outcome: {
                kind: "done",
                answer: "NDI=",
                contentType: "text/plain",
                workerId: `w${index}`,
            } as const,
            workerId: `w${index}`,
            attempts: 1,
        }));
        const spec = makeSpec({ tasks: TASKS_PER_JOB, payload: "p".repeat(200) });
        const entries: HomeEntry[] = [
            { kind: "jobAccepted", jobId, caller: CALLER, spec, wallMs: 0 },
            { kind: "tasksEnded", jobId, ends },
        ];
        void owner.log?.commit(entries);
        if (job % 50 === 49) {
            await clock.step(100);
        }
    }
    await clock.step(SECOND_MS);
}

interface RecoveryFigures {
    readonly bytes: number;
    readonly readBackMs: number;
    readonly longestMs: number;
    readonly snapshotMs: number;
    readonly nextSnapshotMs: number;
    readonly overhead: number;
}

async function measureRecovery(jobs: number, slots: number, commits: number): Promise<RecoveryFigures> {
    const clock = new FakeClock();
    const model = new StoreModel(clock);
    const owner = new LogOwner(clock, model, 1, slots);
    await clock.wait(owner.open(), SECOND_MS);
    await fillSlice(owner, clock, jobs);
    const before = owner.store.writes;
    for (let commit = 0; commit < commits; commit++) {
        owner.commitKey(`k${commit}`, 100);
        await clock.step(20);
    }
    const overhead = (owner.store.writes - before) / commits;
    const listing = model.list(`home/${SLICE}/`);
    if (listing.kind !== "done") {
        throw new Error("the model always answers");
    }
    const bytes = listing.value.records.reduce((sum, record) => sum + record.value.length, 0);
    let longestMs = 0;
    let pieceBegin = performance.now();
    const pause = (): Promise<void> => {
        longestMs = Math.max(longestMs, performance.now() - pieceBegin);
        pieceBegin = performance.now();
        return Promise.resolve();
    };
    const readBegin = performance.now();
    const image = await buildImage(SLICE, listing.value, pause);
    const readBackMs = performance.now() - readBegin;
    await pause();
    if (image.kind !== "done") {
        throw new Error(image.fault.message);
    }
    const writeBegin = performance.now();
    listSnapshotItems(image.value.state);
    const snapshotMs = performance.now() - writeBegin;
    const nextBegin = performance.now();
    listSnapshotItems(image.value.state);
    return {
        bytes,
        readBackMs,
        longestMs,
        snapshotMs,
        nextSnapshotMs: performance.now() - nextBegin,
        overhead,
    };
}

async function buildRecoveryTable(quick: boolean): Promise<FigureTable> {
    const rows: (string | number)[][] = [[
        "jobs kept",
        "slots",
        "bytes in the store",
        "read back ms",
        "longest piece ms",
        "first snapshot text ms",
        "next ms",
        "store writes per record",
    ]];
    const dayOfJobs = Math.round(JOBS_A_DAY / HOME_SLICES);
    const sizes = quick ? [100] : [100, dayOfJobs];
    for (const jobs of sizes) {
        for (const slots of [16, 64, 256]) {
            const figures = await measureRecovery(jobs, slots, quick ? 100 : 500);
            rows.push([
                jobs,
                slots,
                figures.bytes,
                formatFigure(figures.readBackMs),
                formatFigure(figures.longestMs),
                formatFigure(figures.snapshotMs),
                formatFigure(figures.nextSnapshotMs),
                formatFigure(figures.overhead),
            ]);
        }
    }
    return { title: "One slice after a day, by size of the ring (processor time of this machine)", rows };
}

async function run(options: BenchOptions): Promise<BenchReport> {
    const tables = [await buildWriteTable(options.quick), await buildRecoveryTable(options.quick)];
    return { tables, plots: [], targets: [] };
}

export const homeLogBench: Bench = {
    name: "home-log",
    about: "store writes for each task start, and the time to read a home slice back",
    run,
};
