/**
 * Faults at the core: a rack is lost, workers fail everything at once, and a wave of cancellations arrives while
 * tasks go on starting. Visitors' waits second by second, and the time back to normal.
 */
import { createRandom, type Random } from "../src/common/random.js";
import { createPlacementCore } from "../src/process/placement/index.js";
import type { Bench, BenchOptions, BenchReport } from "./lib/bench.js";
import { Driver } from "./lib/driver.js";
import { computePercentile, formatFigure, pickExponential } from "./lib/figures.js";
import { addFleet, buildRequest, buildSettings, buildTask } from "./lib/fleet.js";
import { CoreSubject } from "./lib/subject.js";

const WORKERS = 30;
const SLOTS = 240;
const RACK_SIZE = 6;
const LOAD = 0.75;
/** Load at which the loss of a rack leaves room. */
const LIGHT_LOAD = 0.6;
const MEAN_MS = 100;
const FAILING = 2;
const WAVE = 50_000;
/** Tasks besides: some start first. */
const SPARE = 30_000;
const SECOND_MS = 1_000;
const US_PER_MS = 1_000;
/** p99 of a second up to which waiting counts as normal. */
const NORMAL_MS = 20;

interface FaultResult {
    readonly name: string;
    readonly before: number;
    readonly worst: number;
    readonly backAfterMs: number;
    readonly shed: number;
    readonly restarted: number;
    /** p99 of the wait of requests that started in each second. */
    readonly bySecond: readonly (readonly [number, number])[];
}

function buildDriver(): Driver {
    const core = createPlacementCore();
    core.setSettings(buildSettings([
        {
            path: "visitor",
            kind: "service",
            policy: "service",
            queueLimit: 20_000,
            defaultEstimateMs: MEAN_MS,
        },
    ]));
    addFleet(core, WORKERS);
    return new Driver(new CoreSubject("cactusrack", core, createRandom(1)), item => item.branch);
}

function addVisitors(driver: Driver, load: number, end: number, random: Random): void {
    let counter = 0;
    const arrive = () => {
        counter += 1;
        const now = driver.events.now;
        const caller = `visitor-${random.pickInt(500)}`;
        const run = Math.max(1, pickExponential(random.pickFraction(), MEAN_MS));
        driver.submit(buildRequest(`request-${counter}`, "visitor", caller, now, 5_000), run);
        if (now < end) {
            driver.events.schedule(
                now + pickExponential(random.pickFraction(), MEAN_MS / (load * SLOTS)),
                arrive,
            );
        }
    };
    driver.events.schedule(0, arrive);
}

/** Runs visitors, brings the fault about at a third of the time, and reads the waits second by second. */
function runFault(
    name: string,
    load: number,
    options: BenchOptions,
    bringAbout: (driver: Driver) => void,
): FaultResult {
    const end = (options.quick ? 30 : 120) * SECOND_MS;
    const at = end / 3;
    const driver = buildDriver();
    const waits = new Map<number, number[]>();
    driver.afterStart = item => {
        const second = Math.floor(driver.events.now / SECOND_MS);
        const list = waits.get(second) ?? [];
        list.push(driver.events.now - item.queuedAt);
        waits.set(second, list);
    };
    addVisitors(driver, load, end, createRandom(options.seed));
    driver.events.schedule(at, () => bringAbout(driver));
    driver.events.runUntil(end);
    const bySecond = [...waits].map(([second, list]) => [second, computePercentile(list, 0.99)] as const);
    const record = driver.getRecord("visitor");
    const later = bySecond.filter(([second]) => second * SECOND_MS >= at);
    const lastSlow = later.filter(([, p99]) => p99 > NORMAL_MS).at(-1);
    return {
        name,
        before: Math.max(...bySecond.filter(([second]) => second * SECOND_MS < at).map(([, p99]) => p99)),
        worst: Math.max(...later.map(([, p99]) => p99)),
        backAfterMs: lastSlow === undefined ? 0 : (lastSlow[0] + 1) * SECOND_MS - at,
        shed: record.shed,
        restarted: record.restarted,
        bySecond,
    };
}

function removeRack(driver: Driver): void {
    for (let index = 0; index < RACK_SIZE; index++) {
        driver.removeWorker(`worker-${index}`);
    }
}

interface WaveResult {
    readonly withdrawMs: number;
    readonly withdrawP99Us: number;
    readonly decideBeforeUs: number;
    readonly decideAfterUs: number;
    readonly withdrawn: number;
}

/** Withdraws 50,000 of 80,000 tasks, in random order, with starts going on in between. */
function runWave(options: BenchOptions): WaveResult {
    const random = createRandom(options.seed);
    const core = createPlacementCore();
    core.setSettings(buildSettings([{ path: "batch", kind: "batch", policy: "batch", queueLimit: 100_000 }]));
    addFleet(core, 300);
    const ids: string[] = [];
    const running: string[] = [];
    for (let index = 0; index < WAVE + SPARE; index++) {
        core.enqueue(buildTask(`task-${index}`, random, 0), 0);
        ids.push(`task-${index}`);
    }
    const decide = (now: number) => {
        const begin = performance.now();
        const decisions = core.decide(now, random);
        const tookUs = (performance.now() - begin) * US_PER_MS;
        for (const decision of decisions) {
            if (decision.kind === "start") {
                running.push(decision.item.id);
            }
        }
        return tookUs;
    };
    for (let round = 0; round < 100; round++) {
        decide(round);
    }
    const churn = (from: number) => {
        const tooks: number[] = [];
        for (let round = 0; round < 500; round++) {
            core.release(running.shift() ?? "", from + round, { ranMs: 60_000, failed: false });
            tooks.push(decide(from + round));
        }
        return computePercentile(tooks, 0.99);
    };
    const decideBeforeUs = churn(1_000);
    const withdrawUs: number[] = [];
    let withdrawn = 0;
    const begin = performance.now();
    for (const id of ids.sort((left, right) => left.at(-1)?.localeCompare(right.at(-1) ?? "") ?? 0)) {
        const start = performance.now();
        withdrawn += core.withdraw(id) ? 1 : 0;
        withdrawUs.push((performance.now() - start) * US_PER_MS);
        if (withdrawn === WAVE) {
            break;
        }
    }
    const withdrawMs = performance.now() - begin;
    return {
        withdrawMs,
        withdrawP99Us: computePercentile(withdrawUs, 0.99),
        decideBeforeUs,
        decideAfterUs: churn(2_000),
        withdrawn,
    };
}

function runFaults(options: BenchOptions): BenchReport {
    const results = [
        runFault("no fault, load 0.75", LOAD, options, () => undefined),
        runFault("a rack of 6 lost, load 0.6", LIGHT_LOAD, options, removeRack),
        runFault("a rack of 6 lost, load 0.75", LOAD, options, removeRack),
        runFault("2 workers fail everything, load 0.75", LOAD, options, driver => {
            driver.fails = workerId => Number(workerId.split("-")[1]) < FAILING;
        }),
    ];
    const wave = runWave(options);
    const rows = results.map(result => [
        result.name,
        formatFigure(result.before),
        formatFigure(result.worst),
        formatFigure(result.backAfterMs / SECOND_MS),
        result.shed,
        result.restarted,
    ]);
    const head = [
        "fault",
        "worst p99 before ms",
        "worst p99 after ms",
        "back under 20 ms after s",
        "shed",
        "run again",
    ];
    return {
        tables: [
            { title: "Visitors, p99 of the waits of each second", rows: [head, ...rows] },
            {
                title: "50,000 of 80,000 tasks cancelled while they wait",
                rows: [
                    [
                        "all withdrawals ms",
                        "withdraw p99 us",
                        "decide p99 before us",
                        "decide p99 after us",
                        "withdrawn",
                    ],
                    [
                        formatFigure(wave.withdrawMs),
                        formatFigure(wave.withdrawP99Us),
                        formatFigure(wave.decideBeforeUs),
                        formatFigure(wave.decideAfterUs),
                        wave.withdrawn,
                    ],
                ],
            },
        ],
        plots: [{
            title: "Visitors' wait around a fault",
            xLabel: "seconds",
            yLabel: "p99 of the second, ms",
            series: results.map(result => ({ name: result.name, points: result.bySecond })),
        }],
        targets: [{
            target: "cancellation wave: under 100 us each",
            measured: `${formatFigure(wave.withdrawP99Us)} us`,
            met: wave.withdrawP99Us < 100,
        }],
    };
}

export const coreFaultsBench: Bench = {
    name: "core-faults",
    about: "a rack lost, workers that fail everything, a wave of cancellations",
    run: runFaults,
};
