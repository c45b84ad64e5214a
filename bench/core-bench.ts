/**
 * Speed of the decisions by size of the fleet: a task ends, another is handed in, the core decides. Once with
 * room left and once with a backlog in which every start waits for an end.
 */
import { createRandom, type Random } from "../src/common/random.js";
import { createPlacementCore, type PlacementCore } from "../src/process/placement/index.js";
import type { Bench, BenchOptions, BenchReport, TargetCheck } from "./lib/bench.js";
import { computePercentile, formatFigure } from "./lib/figures.js";
import { addFleet, buildRequest, buildSettings, buildTask, TEAMS } from "./lib/fleet.js";

const FLEETS = [30, 300, 3_800];
/** 20 tasks on each worker: 76,000 on 3,800. */
const TASKS_PER_WORKER = 20;
const BACKLOG = 20_000;
const US_PER_MS = 1_000;

interface Timing {
    readonly decisions: number;
    readonly seconds: number;
    readonly decideUs: readonly number[];
    readonly enqueueUs: readonly number[];
    readonly releaseUs: readonly number[];
}

/** Keeps a fleet busy and times each call. */
class Driver {
    readonly core: PlacementCore = createPlacementCore();
    readonly running: string[] = [];
    now = 0;
    private counter = 0;

    constructor(private readonly workers: number, private readonly random: Random) {
        const queueLimit = 10 * BACKLOG;
        const teams = Array.from({ length: TEAMS }, (_, index) => ({
            team: `team-${index}`,
            weight: 1 + index % 4,
            tokenHashes: [],
        }));
        this.core.setSettings(buildSettings([
            { path: "batch", kind: "batch", policy: "batch", queueLimit },
            { path: "service", kind: "service", policy: "service", queueLimit },
        ], teams));
        addFleet(this.core, workers);
    }

    /** Starts tasks until the wanted number runs. */
    fill(): void {
        const wanted = this.workers * TASKS_PER_WORKER;
        while (this.running.length < wanted) {
            for (let step = 0; step < 200; step++) {
                this.enqueue();
            }
            const before = this.running.length;
            this.decide();
            if (this.running.length === before) {
                return;
            }
        }
    }

    fillBacklog(): void {
        for (let step = 0; step < BACKLOG; step++) {
            this.enqueue();
        }
        while (this.decide() > 0) {
            // Starts all that fits.
        }
    }

    measureTasks(rounds: number): Timing {
        const timing = { decideUs: [] as number[], enqueueUs: [] as number[], releaseUs: [] as number[] };
        let decisions = 0;
        const begin = performance.now();
        for (let round = 0; round < rounds; round++) {
            this.now += 4;
            timing.releaseUs.push(measureUs(() => this.releaseOne()));
            timing.enqueueUs.push(measureUs(() => this.enqueue()));
            timing.decideUs.push(measureUs(() => {
                decisions += this.decide();
            }));
        }
        return { decisions, seconds: (performance.now() - begin) / 1_000, ...timing };
    }

    measureRequests(rounds: number): Timing {
        const timing = { decideUs: [] as number[], enqueueUs: [] as number[], releaseUs: [] as number[] };
        const flying: string[] = [];
        let decisions = 0;
        const begin = performance.now();
        for (let round = 0; round < rounds; round++) {
            this.now += 1;
            const id = `request-${round}`;
            const caller = `caller-${this.random.pickInt(1_000)}`;
            const request = buildRequest(id, "service", caller, this.now, 5_000);
            timing.enqueueUs.push(measureUs(() => this.core.enqueue(request, this.now)));
            timing.decideUs.push(measureUs(() => {
                const made = this.core.decide(this.now, this.random);
                decisions += made.length;
                flying.push(...made.flatMap(decision => decision.kind === "start" ? [decision.item.id] : []));
            }));
            if (flying.length > 4 * this.workers) {
                const last = flying.shift() ?? "";
                const sample = { ranMs: 100, failed: false };
                timing.releaseUs.push(measureUs(() => this.core.release(last, this.now, sample)));
            }
        }
        return { decisions, seconds: (performance.now() - begin) / 1_000, ...timing };
    }

    private enqueue(): void {
        this.counter += 1;
        this.core.enqueue(buildTask(`task-${this.counter}`, this.random, this.now), this.now);
    }

    private decide(): number {
        const decisions = this.core.decide(this.now, this.random);
        for (const decision of decisions) {
            if (decision.kind === "start") {
                this.running.push(decision.item.id);
            }
        }
        return decisions.length;
    }

    private releaseOne(): void {
        const index = this.random.pickInt(this.running.length);
        const id = this.running[index] ?? "";
        this.running[index] = this.running[this.running.length - 1] ?? "";
        this.running.pop();
        this.core.release(id, this.now, { ranMs: 60_000, failed: false });
    }
}

function measureUs(act: () => void): number {
    const begin = performance.now();
    act();
    return (performance.now() - begin) * US_PER_MS;
}

function buildRow(
    name: string,
    workers: number,
    running: number,
    timing: Timing,
): readonly (string | number)[] {
    return [
        name,
        workers,
        running,
        formatFigure(timing.decisions / timing.seconds),
        formatFigure(computePercentile(timing.decideUs, 0.5)),
        formatFigure(computePercentile(timing.decideUs, 0.99)),
        formatFigure(computePercentile(timing.decideUs, 1)),
        formatFigure(computePercentile(timing.enqueueUs, 0.99)),
        formatFigure(computePercentile(timing.releaseUs, 0.99)),
    ];
}

function runCore(options: BenchOptions): BenchReport {
    const rounds = options.quick ? 1_000 : 20_000;
    const rows: (readonly (string | number)[])[] = [];
    const p99 = new Map<string, [number, number][]>();
    for (const workers of FLEETS) {
        const cases: Record<string, (driver: Driver) => Timing> = {
            "room left": driver => driver.measureTasks(rounds),
            "backlog": driver => {
                driver.fillBacklog();
                return driver.measureTasks(rounds);
            },
            "service": driver => driver.measureRequests(rounds),
        };
        for (const [name, measure] of Object.entries(cases)) {
            const driver = new Driver(workers, createRandom(options.seed));
            driver.fill();
            driver.measureTasks(Math.min(1_000, rounds));
            const timing = measure(driver);
            rows.push(buildRow(name, workers, driver.running.length, timing));
            const points = p99.get(name) ?? [];
            points.push([workers, computePercentile(timing.decideUs, 0.99)]);
            p99.set(name, points);
        }
    }
    const targets: TargetCheck[] = [];
    for (const [name, points] of p99) {
        const worst = Math.max(...points.map(([, value]) => value));
        const growth = (points.at(-1)?.[1] ?? 0) / (points[0]?.[1] ?? 1);
        targets.push({
            target: `${name}: p99 under 1 ms`,
            measured: `${formatFigure(worst)} us`,
            met: worst < 1_000,
        });
        targets.push({
            target: `${name}: p99 at most 3x from 30 to 3,800 workers`,
            measured: `${formatFigure(growth)}x`,
            met: growth <= 3,
        });
    }
    const head = [
        "case",
        "workers",
        "running",
        "decisions/s",
        "decide p50 us",
        "decide p99 us",
        "decide max us",
        "enqueue p99 us",
        "release p99 us",
    ];
    return {
        tables: [{ title: "One task or request at a time", rows: [head, ...rows] }],
        plots: [{
            title: "p99 of one decision",
            xLabel: "workers",
            yLabel: "microseconds",
            isLogX: true,
            series: [...p99].map(([name, points]) => ({ name, points })),
        }],
        targets,
    };
}

export const coreBench: Bench = {
    name: "core",
    about: "speed of decisions by size of the fleet",
    run: runCore,
};
