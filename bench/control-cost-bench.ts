/**
 * What the placement core costs, as slopes: memory and processor time against workers, running tasks, starts and
 * teams, bytes of a digest, time of a settings version, and store writes for each start by two ways of marking.
 */
import { encode } from "cbor-x";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createRandom } from "../src/common/random.js";
import { createPlacementCore, type PlacementCore } from "../src/process/placement/index.js";
import type { Bench, BenchOptions, BenchReport, FigureTable } from "./lib/bench.js";
import { computeSlope, formatFigure } from "./lib/figures.js";
import { addFleet, buildSettings, buildTask, TEAMS } from "./lib/fleet.js";

const KIB = 1_024;
const US_PER_MS = 1_000;
const WORKER_STEPS = [100, 400, 1_600, 3_800];
const TASK_STEPS = [2_000, 8_000, 32_000, 64_000];
/** Steps of running tasks in a quick run. */
const QUICK_STEPS = 2;
const TEAM_STEPS = [10, 100, 410];
/** Digests a second, from the default of 250 ms. */
const DIGESTS_PER_SECOND = 4;
/** Entries that each digest goes to, at the size of today. */
const PEERS = 7;
/** Home slices group their writes into batches of this window. */
const BATCH_WINDOW_MS = 50;
const HOME_SLICES = 16;

type Points = (readonly [number, number])[];

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** @returns Heap in use, in KiB, after a collection. */
function measureHeap(): number {
    collectGarbage();
    return process.memoryUsage().heapUsed / KIB;
}

function buildCore(workers: number): PlacementCore {
    const core = createPlacementCore();
    core.setSettings(buildSettings([{ path: "batch", kind: "batch", policy: "batch", queueLimit: 200_000 }]));
    addFleet(core, workers);
    return core;
}

function fillTasks(core: PlacementCore, count: number, teams: number): number {
    const random = createRandom(3);
    let running = 0;
    for (let index = 0; index < count; index += 200) {
        for (let step = 0; step < 200; step++) {
            core.enqueue(buildTask(`task-${index + step}`, random, 0, teams), 0);
        }
        for (let made = -1; made !== 0;) {
            made = core.decide(0, random).length;
            running += made;
        }
    }
    return running;
}

function measureMs(times: number, act: () => void): number {
    const begin = performance.now();
    for (let step = 0; step < times; step++) {
        act();
    }
    return (performance.now() - begin) / times;
}

/** Cores are kept alive until their heap has been read. */
function measureWorkers(): { readonly memory: Points; readonly loadUs: Points; } {
    const memory: Points = [];
    const loadUs: Points = [];
    for (const workers of WORKER_STEPS) {
        const before = measureHeap();
        const core = buildCore(workers);
        memory.push([workers, measureHeap() - before]);
        loadUs.push([workers, US_PER_MS * measureMs(50, () => core.getLoad())]);
    }
    return { memory, loadUs };
}

function measureTasks(steps: readonly number[]): { readonly memory: Points; readonly startUs: Points; } {
    const memory: Points = [];
    const startUs: Points = [];
    for (const tasks of steps) {
        const core = buildCore(3_800);
        const before = measureHeap();
        const begin = performance.now();
        const running = fillTasks(core, tasks, TEAMS);
        startUs.push([tasks, US_PER_MS * (performance.now() - begin) / running]);
        memory.push([running, measureHeap() - before]);
        core.getLoad();
    }
    return { memory, startUs };
}

function measureTeams(): { readonly digestBytes: Points; readonly sharesUs: Points; } {
    const digestBytes: Points = [];
    const sharesUs: Points = [];
    for (const teams of TEAM_STEPS) {
        const core = buildCore(475);
        fillTasks(core, 9_500, teams);
        digestBytes.push([teams, encode(core.getLoad()).length]);
        const share = { cpuMillis: 1e9, memoryMib: 1e9, accelerators: 1e6 };
        const shares = new Map(Array.from({ length: teams }, (_, index) => [`team-${index}`, share]));
        sharesUs.push([teams, US_PER_MS * measureMs(20, () => core.setTeamShares(shares))]);
    }
    return { digestBytes, sharesUs };
}

/** @returns Milliseconds that a new version of the settings takes with 10,000 tasks waiting in the branch. */
function measureSettings(): { readonly sameMs: number; readonly changedMs: number; } {
    const core = buildCore(10);
    fillTasks(core, 10_000, TEAMS);
    const branch = { path: "batch", kind: "batch", policy: "batch", queueLimit: 200_000 } as const;
    let weight = 1;
    return {
        sameMs: measureMs(20, () => core.setSettings(buildSettings([{ ...branch, weight: 1 }]))),
        changedMs: measureMs(20, () => {
            weight += 1;
            core.setSettings(buildSettings([{ ...branch, weight }]));
        }),
    };
}

/**
 * Counts the group-committed writes of start markers by arrivals at 250 starts a second over 16 home slices.
 * @param markedShare - Share of the starts that are marked.
 */
function countMarkerWrites(startsPerSecond: number, markedShare: number, seed: number): number {
    const random = createRandom(seed);
    const seconds = 60;
    const windows = new Set<string>();
    for (let start = 0; start < startsPerSecond * seconds; start++) {
        if (random.pickFraction() < markedShare) {
            const at = random.pickFraction() * seconds * 1_000;
            windows.add(`${random.pickInt(HOME_SLICES)}/${Math.floor(at / BATCH_WINDOW_MS)}`);
        }
    }
    return windows.size / seconds;
}

function buildSlopeRow(name: string, unit: string, points: Points): (string | number)[] {
    const { slope, intercept } = computeSlope(points);
    return [
        name,
        points.map(([x, y]) => `${x}: ${formatFigure(y)}`).join(", "),
        `${formatFigure(slope)} ${unit}`,
        formatFigure(intercept),
    ];
}

function buildMarkerTable(seed: number): FigureTable {
    const rows = [10, 50, 100, 250].map(starts => {
        const all = countMarkerWrites(starts, 1, seed);
        const some = countMarkerWrites(starts, 0.1, seed);
        return [
            starts,
            formatFigure(all),
            formatFigure(all / starts),
            formatFigure(some),
            formatFigure(some / starts),
        ];
    });
    return {
        title:
            "Store writes for start markers, 16 home slices, batches of 50 ms, a tenth of the starts not repeatable",
        rows: [[
            "starts/s",
            "markers for all: writes/s",
            "for each start",
            "only not repeatable: writes/s",
            "for each start",
        ], ...rows],
    };
}

function runControlCost(options: BenchOptions): BenchReport {
    const workers = measureWorkers();
    const tasks = measureTasks(options.quick ? TASK_STEPS.slice(0, QUICK_STEPS) : TASK_STEPS);
    const teams = measureTeams();
    const settings = measureSettings();
    const digest = teams.digestBytes.at(-1)?.[1] ?? 0;
    return {
        tables: [
            {
                title: "Slopes of the placement core (one core for all, unless the table says otherwise)",
                rows: [
                    ["figure", "measured points", "slope", "at zero"],
                    buildSlopeRow("heap by workers, KiB", "KiB a worker", workers.memory),
                    buildSlopeRow("heap by running tasks, KiB", "KiB a task", tasks.memory),
                    buildSlopeRow("getLoad by workers, us", "us a worker", workers.loadUs),
                    buildSlopeRow(
                        "enqueue and start by tasks, us each",
                        "us for each task more",
                        tasks.startUs,
                    ),
                    buildSlopeRow(
                        "load in a digest by teams with use, bytes",
                        "bytes a team",
                        teams.digestBytes,
                    ),
                    buildSlopeRow("setTeamShares by teams, us", "us a team", teams.sharesUs),
                ],
            },
            {
                title: "Settings and digests",
                rows: [
                    ["figure", "measured"],
                    [
                        "a version that changes no branch, 10,000 tasks waiting",
                        `${formatFigure(settings.sameMs)} ms`,
                    ],
                    ["a version that changes their branch", `${formatFigure(settings.changedMs)} ms`],
                    [
                        `digests of one entry to ${PEERS} others, 410 teams in each`,
                        `${formatFigure(digest * DIGESTS_PER_SECOND * PEERS / KIB)} KiB/s sent`,
                    ],
                ],
            },
            buildMarkerTable(options.seed),
        ],
        plots: [{
            title: "Heap of the placement core",
            xLabel: "running tasks on 3,800 workers",
            yLabel: "KiB",
            series: [{ name: "heap", points: tasks.memory }],
        }],
        targets: [],
    };
}

export const controlCostBench: Bench = {
    name: "control-cost",
    about: "memory, processor time, bytes and store writes as slopes",
    run: runControlCost,
};
