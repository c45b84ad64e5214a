/**
 * The catalogue service under visitors, volunteers and a rebuild flood: 30 workers of 8 slots, load from 0.7 to
 * 1.5 of capacity, the surplus all from rebuilds and nine tenths of it from one council.
 */
import { createRandom, type Random } from "../src/common/random.js";
import { createPlacementCore, type WorkItem } from "../src/process/placement/index.js";
import { type BaselineName, BASELINES, BaselineSubject } from "./lib/baselines.js";
import type { Bench, BenchOptions, BenchReport, TargetCheck } from "./lib/bench.js";
import { Driver } from "./lib/driver.js";
import { computePercentile, formatFigure, pickExponential } from "./lib/figures.js";
import { addFleet, buildRequest, buildSettings, buildWorker } from "./lib/fleet.js";
import { CoreSubject, type Subject } from "./lib/subject.js";

const WORKERS = 30;
const SLOTS = 240;
const LOADS = [0.7, 0.95, 1.5];
/** Callers: share of all slots that they use, mean run time and how long they wait at most. */
const CLASSES = {
    visitor: { share: 0.35, meanMs: 80, maxWaitMs: 5_000, callers: 2_000, weight: 10 },
    volunteer: { share: 0.05, meanMs: 150, maxWaitMs: 10_000, callers: 200, weight: 10 },
    rebuild: { share: 0, meanMs: 2_000, maxWaitMs: 60_000, callers: 8, weight: 1 },
};
type ClassName = keyof typeof CLASSES;
const FLOOD_SHARE = 0.9;
const OWN = "cactusrack";
/** With a branch limit that leaves half of the slots of each worker to visitors and volunteers. */
const OWN_LIMITED = "cactusrack, 4 slots for rebuilds";

/** @param rebuildSlots - Slots of each worker that rebuilds may use. */
function buildCore(name: string, rebuildSlots: number): Subject {
    const core = createPlacementCore();
    core.setSettings(buildSettings(
        (Object.keys(CLASSES) as ClassName[]).map(path => ({
            path,
            kind: "service",
            policy: "service",
            weight: CLASSES[path].weight,
            maxWaitMs: CLASSES[path].maxWaitMs,
            queueLimit: 20_000,
            slotsPerWorker: path === "rebuild" ? rebuildSlots : 8,
            defaultEstimateMs: CLASSES[path].meanMs,
        })),
    ));
    addFleet(core, WORKERS);
    return new CoreSubject(name, core, createRandom(1));
}

function buildBaseline(name: BaselineName): Subject {
    const views = Array.from({ length: WORKERS }, (_, index) => buildWorker(index));
    return new BaselineSubject(name, views, createRandom(1));
}

/** Schedules the arrivals of one class, one after the other. */
function addArrivals(driver: Driver, name: ClassName, share: number, end: number, random: Random): void {
    const { meanMs, maxWaitMs, callers } = CLASSES[name];
    const gapMs = meanMs / (share * SLOTS);
    let counter = 0;
    const arrive = () => {
        counter += 1;
        const now = driver.events.now;
        const isFlood = name === "rebuild" && random.pickFraction() < FLOOD_SHARE;
        const caller = isFlood ? "council-flood" : `${name}-${random.pickInt(callers)}`;
        const item = buildRequest(`${name}-${counter}`, name, caller, now, maxWaitMs);
        driver.submit(item, Math.max(1, pickExponential(random.pickFraction(), meanMs)));
        if (now < end) {
            driver.events.schedule(now + pickExponential(random.pickFraction(), gapMs), arrive);
        }
    };
    driver.events.schedule(0, arrive);
}

function getClass(item: WorkItem): string {
    return item.callerId === "council-flood" ? "flood" : item.branch;
}

interface MixResult {
    readonly load: number;
    readonly subject: string;
    readonly driver: Driver;
    /** Mean slots in use by caller. */
    readonly use: ReadonlyMap<string, number>;
}

function runMix(subject: Subject, load: number, options: BenchOptions): MixResult {
    const seconds = options.quick ? 20 : 180;
    const driver = new Driver(subject, getClass);
    const end = seconds * 1_000;
    const random = createRandom(options.seed);
    const { visitor, volunteer } = CLASSES;
    addArrivals(driver, "visitor", visitor.share, end, random);
    addArrivals(driver, "volunteer", volunteer.share, end, random);
    addArrivals(driver, "rebuild", load - visitor.share - volunteer.share, end, random);
    driver.events.runUntil(end / 4);
    driver.takeMeanUse();
    driver.events.runUntil(end);
    return { load, subject: subject.name, driver, use: driver.takeMeanUse() };
}

function buildRows(result: MixResult): (string | number)[][] {
    return ["visitor", "volunteer", "rebuild", "flood"].map(name => {
        const record = result.driver.getRecord(name);
        return [
            result.load,
            result.subject,
            name,
            record.arrived,
            formatFigure(computePercentile(record.waits, 0.5)),
            formatFigure(computePercentile(record.waits, 0.99)),
            `${formatFigure(100 * record.shed / Math.max(1, record.arrived))}%`,
            `${formatFigure(100 * sumUse(result, ALL) / SLOTS)}%`,
        ];
    });
}

/** @returns p99 of the wait of visitors and volunteers together. */
function computeQuickP99(result: MixResult): number {
    const { driver } = result;
    return computePercentile(
        [...driver.getRecord("visitor").waits, ...driver.getRecord("volunteer").waits],
        0.99,
    );
}

const QUICK = ["visitor", "volunteer"];
const REBUILD = ["rebuild", "flood"];
const ALL = [...QUICK, ...REBUILD];

function sumUse(result: MixResult, names: readonly string[]): number {
    return names.reduce((sum, name) => sum + (result.use.get(name) ?? 0), 0);
}

/** @returns Slots that rebuilds used, over those that the others left. */
function computeRebuildShare(result: MixResult): number {
    return sumUse(result, REBUILD) / (SLOTS - sumUse(result, QUICK));
}

function runPorteAperte(options: BenchOptions): BenchReport {
    const names = Object.keys(BASELINES).filter(name => name !== "first-fit") as BaselineName[];
    const results = LOADS.flatMap(load => [
        runMix(buildCore(OWN, 8), load, options),
        runMix(buildCore(OWN_LIMITED, 4), load, options),
        ...names.map(name => runMix(buildBaseline(name), load, options)),
    ]);
    const overloaded = results.filter(result => result.load === 1.5);
    const own = overloaded.find(result => result.subject === OWN);
    const ownP99 = own === undefined ? 0 : computeQuickP99(own);
    const targets: TargetCheck[] = overloaded.filter(result => !result.subject.startsWith(OWN)).map(
        result => {
            const ratio = computeQuickP99(result) / Math.max(1, ownP99);
            return {
                target:
                    `visitors' and volunteers' p99 at 1.5 at least 5x below ${result.subject} (own p99 counted as 1 ms or more)`,
                measured: `${formatFigure(ratio)}x`,
                met: ratio >= 5,
            };
        },
    );
    const share = own === undefined ? 0 : computeRebuildShare(own);
    targets.push({
        target: "rebuilds at 1.5 get at least 95% of what the others leave",
        measured: `${formatFigure(100 * share)}%`,
        met: share >= 0.95,
    });
    const head = [
        "load",
        "scheduler",
        "caller",
        "requests",
        "wait p50 ms",
        "wait p99 ms",
        "shed",
        "slots used",
    ];
    return {
        tables: [{ title: "Waiting time by caller", rows: [head, ...results.flatMap(buildRows)] }],
        plots: [{
            title: "Visitors' and volunteers' wait, p99",
            xLabel: "load, share of capacity",
            yLabel: "milliseconds (1 or more)",
            isLogY: true,
            series: [OWN, OWN_LIMITED, ...names].map(name => ({
                name,
                points: results.filter(result => result.subject === name)
                    .map(result => [result.load, Math.max(1, computeQuickP99(result))] as const),
            })),
        }],
        targets,
    };
}

export const porteAperteBench: Bench = {
    name: "porte-aperte",
    about: "waiting time of visitors and volunteers under a rebuild flood",
    run: runPorteAperte,
};
