/**
 * Eight entry processes on loopback under load: one is killed, one paused, one replaced in order, the store is taken
 * away, while operators edit. Counts broken promises and measures the gaps.
 */
import { createHash } from "node:crypto";
import { createRandom, makeUniqueId } from "../src/common/random.js";
import { BATCH_BRANCH, BenchCallers, pause, SERVICE_BRANCH, TASKS_PER_JOB } from "./faults/callers.js";
import { type EntryChild, EntryProgram } from "./faults/entry-child.js";
import { OperatorClient, type OwnedWorker } from "./faults/operator-client.js";
import { countEnds, describePhase, measureGap, type PhaseFigures } from "./faults/phase-figures.js";
import { type BenchPlatform, FAILURE_DOMAINS, startPlatform } from "./faults/platform.js";
import { verifyRun } from "./faults/verdict.js";
import type { Bench, BenchOptions, BenchReport } from "./lib/bench.js";
import { computePercentile, formatFigure } from "./lib/figures.js";

const ENTRIES = 8;
const EDIT_PERIOD_MS = 3_000;
const JOB_PATIENCE_MS = 60_000;
const RESUME_LIMIT_MS = 60_000;
/** Time to watch after a fault is over. */
const AFTERMATH_MS = 5_000;
/** Time for slices to spread over new entries. */
const SPREAD_MS = 8_000;

export const faultsBench: Bench = {
    name: "faults",
    about: "eight entry processes killed, paused and replaced under load: broken promises and gaps",
    run: runFaults,
};

interface Phase {
    readonly name: string;
    readonly act: (run: FaultsRun) => Promise<void>;
}

const phases: readonly Phase[] = [
    { name: "quiet", act: run => run.wait(5_000) },
    { name: "one entry killed", act: run => run.killOne() },
    { name: "one entry paused 10 s", act: run => run.pauseOne() },
    { name: "one entry replaced", act: run => run.replaceOne() },
    { name: "two entries killed at once", act: run => run.killTwo() },
    { name: "quiet again", act: run => run.wait(5_000) },
];

/** Phases of a quick run. */
const QUICK_PHASES = 2;

/** Runs the bench; see the module comment. */
export async function runFaults(options: BenchOptions): Promise<BenchReport> {
    const platform = await startPlatform();
    const run = new FaultsRun(platform, options.seed);
    try {
        await run.open();
        return await run.measure(options.quick ? phases.slice(0, QUICK_PHASES) : phases);
    }
    finally {
        await run.close();
        await platform.close();
    }
}

interface Victim {
    readonly entry: EntryChild;
    readonly owned: readonly OwnedWorker[];
}

class FaultsRun {
    private readonly random;
    private readonly token: string;
    private readonly operatorToken: string;
    private readonly program: EntryProgram;
    private readonly entries: EntryChild[] = [];
    private readonly callers: BenchCallers;
    private readonly operator: OperatorClient;
    private readonly inForceMs: number[] = [];
    private resumedMs: number | undefined;
    private readonly exitCodes: (number | string)[] = [];
    /** Entry that left in order: no request that it had may be cut off. */
    private leaver: { readonly url: string; readonly from: number; } | undefined;

    constructor(private readonly platform: BenchPlatform, seed: number) {
        this.random = createRandom(seed);
        this.token = makeUniqueId(this.random);
        this.operatorToken = makeUniqueId(this.random);
        this.program = new EntryProgram({
            storeUrl: platform.storeUrl,
            vmListUrl: platform.vmListUrl,
            operatorTokenHash: hashToken(this.operatorToken),
            secret: makeUniqueId(this.random) + makeUniqueId(this.random),
        });
        const listUrls = (): readonly string[] => this.entries.map(entry => entry.httpUrl);
        this.callers = new BenchCallers(this.random, this.token, listUrls);
        this.operator = new OperatorClient(
            this.operatorToken,
            () => this.entries.map(entry => entry.httpUrl),
        );
    }

    async open(): Promise<void> {
        for (let index = 0; index < ENTRIES; index++) {
            await this.addEntry(`entry-${index}`, index);
        }
        await this.operator.waitForMembers(ENTRIES);
        await this.operator.edit([
            { path: "", field: "teams.bench", value: { weight: 1, tokenHashes: [hashToken(this.token)] } },
            { path: "services", field: "kind", value: "service" },
            { path: SERVICE_BRANCH, field: "kind", value: "service" },
            { path: BATCH_BRANCH, field: "kind", value: "batch" },
        ]);
        await this.callers.open();
        await pause(SPREAD_MS);
    }

    async close(): Promise<void> {
        this.program.close();
        await this.callers.close();
        await this.operator.close();
    }

    async measure(chosen: readonly Phase[]): Promise<BenchReport> {
        this.callers.start();
        const edits = setInterval(() => void this.measureEdit(), EDIT_PERIOD_MS);
        const figures: PhaseFigures[] = [];
        for (const phase of chosen) {
            const before = this.platform.store.getCounters();
            const from = performance.now();
            this.resumedMs = undefined;
            await phase.act(this);
            const after = this.platform.store.getCounters();
            const seconds = (performance.now() - from) / 1_000;
            figures.push({
                name: phase.name,
                from,
                to: performance.now(),
                storeWrites: (after.writes + after.leases - before.writes - before.leases) / seconds,
                storeReads: (after.reads + after.polls - before.reads - before.polls) / seconds,
                resumedMs: this.resumedMs,
            });
        }
        clearInterval(edits);
        await this.callers.stop();
        const lostTasks = await this.countLostTasks();
        return this.buildReport(figures, lostTasks);
    }

    async wait(milliseconds: number): Promise<void> {
        await pause(milliseconds);
    }

    async killOne(): Promise<void> {
        await this.killAll([await this.takeBusiest()]);
    }

    async killTwo(): Promise<void> {
        const first = await this.takeBusiest();
        const second = await this.takeBusiest();
        await this.killAll([first, second]);
    }

    async pauseOne(): Promise<void> {
        const victim = await this.takeBusiest();
        const { entry } = victim;
        const at = performance.now();
        entry.process.kill("SIGSTOP");
        await this.measureResume(victim.owned, at);
        await pause(Math.max(0, 10_000 - (performance.now() - at)));
        entry.process.kill("SIGCONT");
        await pause(5_000);
        this.entries.push(entry);
    }

    async replaceOne(): Promise<void> {
        await this.addEntry("entry-new", 0);
        const { entry } = await this.takeBusiest();
        this.leaver = { url: entry.httpUrl, from: performance.now() };
        entry.process.kill("SIGTERM");
        this.exitCodes.push(await entry.ended);
        await pause(3_000);
    }

    private async killAll(victims: readonly Victim[]): Promise<void> {
        const at = performance.now();
        victims.forEach(({ entry }) => entry.process.kill("SIGKILL"));
        await this.measureResume(victims.flatMap(({ owned }) => owned), at);
        await pause(AFTERMATH_MS);
    }

    /** Time until each worker of a lost entry has begun something new under another owner. */
    private async measureResume(
        workers: readonly OwnedWorker[],
        at: number,
    ) {
        const waiting = new Map(workers.map(({ workerId, epoch }) => [workerId, epoch]));
        const { runs } = this.platform.journal;
        let seen = runs.length;
        while (waiting.size > 0 && performance.now() - at < RESUME_LIMIT_MS) {
            await pause(20);
            for (; seen < runs.length; seen++) {
                const run = runs[seen];
                if (
                    run !== undefined && run.epoch > (waiting.get(run.workerId) ?? Number.POSITIVE_INFINITY)
                ) {
                    waiting.delete(run.workerId);
                }
            }
        }
        this.resumedMs = waiting.size > 0 ? Number.POSITIVE_INFINITY : performance.now() - at;
    }

    private async addEntry(name: string, index: number): Promise<void> {
        const domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "domain-a";
        this.entries.push(await this.program.startEntry(name, domain));
    }

    /** Takes the entry with the most workers off the list that callers and operators use. */
    private async takeBusiest(): Promise<Victim> {
        const all = await Promise.all(
            this.entries.map(async entry => ({
                entry,
                owned: await this.operator.listWorkersOf(entry.memberId),
            })),
        );
        const victim = all.reduce((best, each) => each.owned.length > best.owned.length ? each : best);
        this.entries.splice(this.entries.indexOf(victim.entry), 1);
        return victim;
    }

    /** Time from an edit until every entry that takes work has it in force. */
    private async measureEdit(): Promise<void> {
        const elapsed = await this.operator.measureEdit(SERVICE_BRANCH).catch(() => undefined);
        if (elapsed !== undefined) {
            this.inForceMs.push(elapsed);
        }
    }

    private async countLostTasks(): Promise<{ readonly lost: number; readonly mayHaveRun: number; }> {
        let lost = 0;
        let mayHaveRun = 0;
        const deadline = performance.now() + JOB_PATIENCE_MS;
        for (const { jobId } of this.callers.jobs) {
            let counts = { done: 0, mayHaveRun: 0 };
            do {
                const reply = await this.callers.send("GET", `/v1/jobs/${jobId}?waitMs=1000`).catch(() =>
                    undefined
                );
                counts = reply?.status === 200 ?
                    (JSON.parse(reply.text) as { counts: typeof counts; }).counts :
                    counts;
            }
            while (counts.done + counts.mayHaveRun < TASKS_PER_JOB && performance.now() < deadline);
            lost += TASKS_PER_JOB - counts.done - counts.mayHaveRun;
            mayHaveRun += counts.mayHaveRun;
        }
        return { lost, mayHaveRun };
    }

    private buildReport(
        figures: readonly PhaseFigures[],
        tasks: { readonly lost: number; readonly mayHaveRun: number; },
    ): BenchReport {
        const { told, jobs, jobsRefused } = this.callers;
        const onceJobs = new Set(jobs.filter(job => !job.repeatable).map(job => job.jobId));
        const verdict = verifyRun(this.platform.journal, told, onceJobs);
        const cutOff =
            told.filter(({ end, entry, at }) =>
                end === "broken" && entry === this.leaver?.url && at >= this.leaver.from
            ).length;
        const worstResume = Math.max(0, ...figures.map(({ resumedMs }) => resumedMs ?? 0));
        const gaps = figures.map(phase =>
            measureGap(told.filter(({ end }) => end === "done").map(({ at }) => at), phase)
        );
        const inForceWorst = Math.max(0, ...this.inForceMs);
        const storeWrites = Math.max(...figures.map(phase => phase.storeWrites));
        const zero = [
            ["lost tasks of accepted jobs", tasks.lost],
            ["doubled", verdict.doubled],
            ['falsely "not run"', verdict.falselyNotRun],
            ["wrong or cut answers", verdict.wrongAnswers],
            ["overcommitted", verdict.overcommitted],
            ["requests cut off by a graceful shutdown", cutOff],
        ] as const;
        return {
            tables: [
                {
                    title: `Phases: ${ENTRIES} entries, 30 workers with 8 slots`,
                    rows: [
                        [
                            "phase",
                            "seconds",
                            "answers",
                            "p50 ms",
                            "p99 ms",
                            "longest gap ms",
                            "placing again ms",
                            "store writes/s",
                            "store reads/s",
                        ],
                        ...figures.map((phase, index) => describePhase(phase, told, gaps[index] ?? 0)),
                    ],
                },
                {
                    title: "What callers were told",
                    rows: [["kind", "end", "count"], ...countEnds(told), ["job", "accepted", jobs.length], [
                        "job",
                        "refused",
                        jobsRefused,
                    ]],
                },
                { title: "Broken promises", rows: [["promise", "count"], ...zero] },
                {
                    title: "Other figures",
                    rows: [
                        ["figure", "value"],
                        ['tasks told "may have run"', tasks.mayHaveRun],
                        ["edits measured", this.inForceMs.length],
                        [
                            "settings in force on all entries, p50 ms",
                            formatFigure(computePercentile(this.inForceMs, 0.5)),
                        ],
                        ["settings in force on all entries, worst ms", formatFigure(inForceWorst)],
                        ["exit codes of entries that left", this.exitCodes.join(", ") || "none"],
                    ],
                },
            ],
            plots: [],
            targets: [
                ...zero.map(([target, count]) => ({
                    target: `${target}: 0`,
                    measured: String(count),
                    met: count === 0,
                })),
                {
                    target: "placing again within 10 s",
                    measured: `${formatFigure(worstResume)} ms`,
                    met: worstResume < 10_000,
                },
                {
                    target: "settings in force within 4 s",
                    measured: `${formatFigure(inForceWorst)} ms`,
                    met: inForceWorst <= 4_000,
                },
                {
                    target: "store writes under 200/s",
                    measured: formatFigure(storeWrites),
                    met: storeWrites < 200,
                },
            ],
        };
    }
}

function hashToken(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}
