/**
 * Reach studies (gangs), impeller sweeps (batch) and nozzle checks (short) on 30 workers with a backlog, with
 * declared run times off by up to ten times either way.
 */
import { createRandom, type Random } from "../src/common/random.js";
import { createPlacementCore, type WorkItem } from "../src/process/placement/index.js";
import { type BaselineName, BaselineSubject } from "./lib/baselines.js";
import type { Bench, BenchOptions, BenchReport, TargetCheck } from "./lib/bench.js";
import { Driver } from "./lib/driver.js";
import { computePercentile, formatFigure, pickExponential } from "./lib/figures.js";
import { addFleet, buildSettings, buildTask, buildWorker } from "./lib/fleet.js";
import { CoreSubject, type Subject } from "./lib/subject.js";

const WORKERS = 30;
const CPU_TOTAL = WORKERS * 64_000;
const MEMORY_MIB = 250_000;
const DOMAINS = 4;
const TEAMS = 12;
const MINUTE_MS = 60_000;
const OWN = "cactusrack";
const SUBJECTS: readonly string[] = [OWN, "first-come", "first-fit", "least-loaded"];
/** Studies of 16 to 80 tasks of 8 cores; the backlog at the start holds hours of work. */
const STUDY = { everyMs: 10 * MINUTE_MS, meanMs: 15 * MINUTE_MS, cpuMillis: 8_000, memoryMib: 24_000 };
const SWEEP = { everyMs: 2 * MINUTE_MS, meanMs: 4 * MINUTE_MS, backlog: 40 };
const CHECK = { everyMs: 1_500, meanMs: 10_000 };

function buildSubject(name: string): Subject {
    if (name !== OWN) {
        const views = Array.from({ length: WORKERS }, (_, index) => buildWorker(index, MEMORY_MIB, DOMAINS));
        return new BaselineSubject(name as BaselineName, views, createRandom(1));
    }
    const core = createPlacementCore();
    core.setSettings(buildSettings([
        { path: "studies", kind: "gang", policy: "gang", preemptible: false },
        { path: "batch", kind: "batch", policy: "batch", queueLimit: 1_000_000 },
        { path: "checks", kind: "short", policy: "short", queueLimit: 10_000 },
    ]));
    addFleet(core, WORKERS, MEMORY_MIB, DOMAINS);
    return new CoreSubject(OWN, core, createRandom(1));
}

/** @returns A declaration that is off by up to ten times either way. */
function pickDeclared(trueMs: number, random: Random): number {
    return trueMs * 10 ** (2 * random.pickFraction() - 1);
}

/** Makes the work of one run; the same for every subject. */
class Source {
    readonly gangs = new Map<string, number>();
    private counter = 0;

    constructor(private readonly driver: Driver, private readonly random: Random) {}

    submitStudy(): void {
        this.counter += 1;
        const gangId = `study-${this.counter}`;
        const trueMs = MINUTE_MS + pickExponential(this.random.pickFraction(), STUDY.meanMs);
        const size = 16 + this.random.pickInt(65);
        const now = this.driver.events.now;
        const estimateMs = pickDeclared(trueMs, this.random);
        const items = Array.from({ length: size }, (_, index): WorkItem => ({
            ...buildTask(`${gangId}.${index}`, this.random, now, TEAMS),
            kind: "gang",
            branch: "studies",
            estimateMs,
            gangId,
            resources: { cpuMillis: STUDY.cpuMillis, memoryMib: STUDY.memoryMib, accelerators: 0 },
        }));
        this.gangs.set(gangId, now);
        this.driver.submitGang(gangId, items, trueMs);
    }

    submitSweep(): void {
        const now = this.driver.events.now;
        const cpuMillis = 1_000 * (1 + this.random.pickInt(8));
        const size = 50 + this.random.pickInt(250);
        const team = `team-${this.random.pickInt(TEAMS)}`;
        for (let index = 0; index < size; index++) {
            this.counter += 1;
            const trueMs = 5_000 + pickExponential(this.random.pickFraction(), SWEEP.meanMs);
            const resources = { cpuMillis, memoryMib: 3 * cpuMillis, accelerators: 0 };
            const estimateMs = pickDeclared(trueMs, this.random);
            const base = buildTask(`sweep-${this.counter}`, this.random, now, TEAMS);
            this.driver.submit({ ...base, team, estimateMs, resources }, trueMs);
        }
    }

    submitCheck(): void {
        this.counter += 1;
        const now = this.driver.events.now;
        const trueMs = 1_000 + pickExponential(this.random.pickFraction(), CHECK.meanMs);
        const base = buildTask(`check-${this.counter}`, this.random, now, TEAMS);
        const resources = { cpuMillis: 2_000, memoryMib: 4_000, accelerators: 0 };
        const estimateMs = pickDeclared(trueMs, this.random);
        this.driver.submit({ ...base, kind: "short", branch: "checks", estimateMs, resources }, trueMs);
    }

    /** Goes on handing work in at random distances until an instant. */
    schedule(everyMs: number, end: number, submit: () => void): void {
        const next = () => this.driver.events.now + pickExponential(this.random.pickFraction(), everyMs);
        const arrive = () => {
            submit();
            if (this.driver.events.now < end) {
                this.driver.events.schedule(next(), arrive);
            }
        };
        this.driver.events.schedule(next(), arrive);
    }
}

interface MixResult {
    readonly subject: string;
    readonly driver: Driver;
    readonly packing: number;
    readonly studies: number;
    readonly studiesStarted: number;
    /** Longest wait of a study, those that still wait counted to the end. */
    readonly longestStudyMs: number;
}

function runMix(name: string, options: BenchOptions): MixResult {
    const end = (options.quick ? 40 : 240) * MINUTE_MS;
    const started = new Map<string, number>();
    const driver = new Driver(buildSubject(name), item => item.branch);
    driver.afterStart = item => {
        if (item.gangId !== undefined && !started.has(item.gangId)) {
            started.set(item.gangId, driver.events.now);
        }
    };
    const source = new Source(driver, createRandom(options.seed));
    for (let step = 0; step < SWEEP.backlog; step++) {
        source.submitSweep();
    }
    source.submitStudy();
    source.submitStudy();
    source.schedule(STUDY.everyMs, end, () => source.submitStudy());
    source.schedule(SWEEP.everyMs, end, () => source.submitSweep());
    source.schedule(CHECK.everyMs, end, () => source.submitCheck());
    const warmUp = end / 8;
    driver.events.runUntil(warmUp);
    driver.takeMeanUse();
    driver.events.runUntil(end);
    const used = [...driver.takeMeanUse().values()].reduce((sum, value) => sum + value, 0);
    driver.endWaits();
    const waits = [...source.gangs].map(([gangId, at]) => (started.get(gangId) ?? end) - at);
    return {
        subject: name,
        driver,
        packing: used / CPU_TOTAL,
        studies: source.gangs.size,
        studiesStarted: started.size,
        longestStudyMs: Math.max(...waits),
    };
}

function buildRow(result: MixResult): (string | number)[] {
    const checks = result.driver.getRecord("checks").waits;
    const sweeps = result.driver.getRecord("batch");
    return [
        result.subject,
        `${formatFigure(100 * result.packing)}%`,
        formatFigure(computePercentile(checks, 0.5)),
        formatFigure(computePercentile(checks, 0.99)),
        `${result.driver.getRecord("checks").started} of ${result.driver.getRecord("checks").arrived}`,
        result.driver.getRecord("checks").restarted + sweeps.restarted,
        `${result.studiesStarted} of ${result.studies}`,
        formatFigure(result.longestStudyMs / MINUTE_MS),
        sweeps.ended,
    ];
}

function runHooghly(options: BenchOptions): BenchReport {
    const results = SUBJECTS.map(name => runMix(name, options));
    const own = results[0];
    const firstCome = results.find(result => result.subject === "first-come");
    if (own === undefined || firstCome === undefined) {
        throw new Error("the list of subjects has lost cactusrack or first-come");
    }
    const ownCheck = computePercentile(own.driver.getRecord("checks").waits, 0.99);
    const ratio = computePercentile(firstCome.driver.getRecord("checks").waits, 0.99) / Math.max(1, ownCheck);
    const targets: TargetCheck[] = [
        {
            target: "packing at backlog at least 90% of the bound (all processors in use)",
            measured: `${formatFigure(100 * own.packing)}%`,
            met: own.packing >= 0.9,
        },
        {
            target: "nozzle checks' p99 at least 5x below first-come",
            measured: `${formatFigure(ratio)}x`,
            met: ratio >= 5,
        },
        {
            target: "no study waits without limit (longest wait under 45 minutes)",
            measured: `${formatFigure(own.longestStudyMs / MINUTE_MS)} min`,
            met: own.longestStudyMs < 45 * MINUTE_MS,
        },
    ];
    const head = [
        "scheduler",
        "packing",
        "check wait p50 ms",
        "check wait p99 ms",
        "checks started",
        "preempted",
        "studies started",
        "longest study wait min",
        "sweep tasks ended",
    ];
    return {
        tables: [{ title: "With a backlog of sweeps", rows: [head, ...results.map(buildRow)] }],
        plots: [{
            title: "Waiting time of nozzle checks",
            xLabel: "share of checks, %",
            yLabel: "milliseconds (1 or more)",
            isLogY: true,
            series: results.map(result => ({
                name: result.subject,
                points: [10, 50, 75, 90, 95, 99].map(share =>
                    [
                        share,
                        Math.max(1, computePercentile(result.driver.getRecord("checks").waits, share / 100)),
                    ] as const
                ),
            })),
        }],
        targets,
    };
}

export const hooghlyBench: Bench = {
    name: "hooghly",
    about: "packing, gangs and nozzle checks with run times off by ten",
    run: runHooghly,
};
