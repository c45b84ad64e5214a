/**
 * Service requests through one entry process on loopback, against the same client calling stand-in workers
 * directly in the same run. Once with each decision logged and metrics sent, once without both.
 */
import { cpus, loadavg } from "node:os";
import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { LoadClient, LoadResult } from "./front/load-client.js";
import { FrontScene, readUsage } from "./front/scene.js";
import type { Bench, BenchOptions, BenchReport } from "./lib/bench.js";
import { computePercentile, formatFigure } from "./lib/figures.js";

const CONCURRENCY = 96;
const TARGET_RATE = 3_000;
const TARGET_ADDED_MS = 10;
const HALF = 0.5;
const ROUNDS = 9;
/** Short, so that a burst of other load on the machine falls into few rounds. */
const ROUND_MS = 1_500;
const WARM_UP_MS = 4_000;
const MEBIBYTE = 1_048_576;

export const frontLoadBench: Bench = {
    name: "front-load",
    about: "service requests through one entry, against calling the workers directly",
    run: runFrontLoad,
};

/** Runs the bench; see the module comment. */
export async function runFrontLoad(options: BenchOptions): Promise<BenchReport> {
    const scene = new FrontScene();
    try {
        await scene.open();
        return await measure(scene, options);
    }
    finally {
        await scene.close();
    }
}

type Name = "direct" | "on" | "off";

function requireClient(scene: FrontScene, name: Name): LoadClient {
    const client = name === "direct" ? scene.direct : scene.entries.get(name)?.client;
    if (client === undefined) {
        throw new Error("the scene is not open");
    }
    return client;
}

/** Runs each client in turn, several times, so that other load on the machine falls on all of them. */
async function runRounds(
    scene: FrontScene,
    rounds: number,
    run: (client: LoadClient, name: Name) => Promise<LoadResult>,
): Promise<Map<Name, LoadResult[]>> {
    const results = new Map<Name, LoadResult[]>();
    for (let round = 0; round < rounds; round++) {
        for (const name of ["direct", "on", "off"] as const) {
            const result = await run(requireClient(scene, name), name);
            results.set(name, [...results.get(name) ?? [], result]);
        }
    }
    return results;
}

function computeMedian(results: readonly LoadResult[], pick: (result: LoadResult) => number): number {
    return computePercentile(results.map(pick), HALF);
}

const LABELS: Readonly<Record<Name, string>> = {
    direct: "worker called directly",
    on: "through the entry, logs and metrics on",
    off: "through the entry, logs and metrics off",
};

function buildRow(name: Name, results: readonly LoadResult[]): (string | number)[] {
    const sent = results.reduce((sum, result) => sum + result.sent, 0);
    const right = results.reduce((sum, result) => sum + result.right, 0);
    return [
        LABELS[name],
        sent,
        sent - right,
        formatFigure(computeMedian(results, result => result.rate)),
        formatFigure(computeMedian(results, result => result.p50Ms)),
        formatFigure(computeMedian(results, result => result.p99Ms)),
        formatFigure(computeMedian(results, result => result.p999Ms)),
    ];
}

const HEAD = ["what", "sent", "not right", "answers/s", "p50 ms", "p99 ms", "p99.9 ms"];

interface Cost {
    readonly name: "on" | "off";
    readonly cpuUsPerRequest: number;
    readonly rssMib: number;
    readonly loopP99Ms: number;
}

/** Processor time of the entry for each request of a run, the run of the roles beside it included. */
async function measureCost(
    scene: FrontScene,
    name: "on" | "off",
    durationMs: number,
    random: Random,
): Promise<Cost> {
    const entry = scene.entries.get(name);
    if (entry === undefined) {
        throw new Error("the scene is not open");
    }
    const before = await readUsage(entry.child);
    const result = await entry.client.runOpen(TARGET_RATE * HALF, durationMs, random);
    const after = await readUsage(entry.child);
    return {
        name,
        cpuUsPerRequest: (after.cpuMs - before.cpuMs) / result.sent * 1_000,
        rssMib: after.rssBytes / MEBIBYTE,
        loopP99Ms: after.loopP99Ms,
    };
}

async function measure(scene: FrontScene, { quick, seed }: BenchOptions): Promise<BenchReport> {
    const random = createRandom(seed);
    const loadBefore = readLoad();
    const [rounds, durationMs] = quick ? [1, 1_000] : [ROUNDS, ROUND_MS];
    // Warms up the compilers of all processes.
    await runRounds(scene, 1, client => client.runClosed(CONCURRENCY, quick ? durationMs : WARM_UP_MS));
    const closed = await runRounds(scene, rounds, client => client.runClosed(CONCURRENCY, durationMs));
    const open = await runRounds(
        scene,
        rounds,
        client => client.runOpen(TARGET_RATE * HALF, durationMs, random),
    );
    const costs = [
        await measureCost(scene, "off", WARM_UP_MS, random),
        await measureCost(scene, "on", WARM_UP_MS, random),
    ];
    return buildReport(closed, open, costs, [loadBefore, readLoad()]);
}

/** Processes that ran or waited to run, averaged over the last minute. */
function readLoad(): number {
    return loadavg()[0] ?? 0;
}

function buildReport(
    closed: ReadonlyMap<Name, LoadResult[]>,
    open: ReadonlyMap<Name, LoadResult[]>,
    costs: readonly Cost[],
    loads: readonly number[],
): BenchReport {
    const pickOpen = (name: Name, pick: (result: LoadResult) => number) =>
        computeMedian(open.get(name) ?? [], pick);
    const rateOn = computeMedian(closed.get("on") ?? [], result => result.rate);
    const rateOff = computeMedian(closed.get("off") ?? [], result => result.rate);
    const addedMs = pickOpen("on", result => result.p99Ms) - pickOpen("direct", result => result.p99Ms);
    const ratio = pickOpen("on", result => result.p99Ms) / pickOpen("direct", result => result.p99Ms);
    const names: readonly Name[] = ["direct", "on", "off"];
    return {
        tables: [
            {
                title: `As fast as answers come, ${CONCURRENCY} at once; medians of the rounds`,
                rows: [HEAD, ...names.map(name => buildRow(name, closed.get(name) ?? []))],
            },
            {
                title: `At ${TARGET_RATE * HALF} requests a second, Poisson; medians of the rounds`,
                rows: [HEAD, ...names.map(name => buildRow(name, open.get(name) ?? []))],
            },
            {
                title: "Cost of the entry process at that rate",
                rows: [
                    [
                        "logs and metrics",
                        "processor us a request",
                        "resident MiB",
                        "p99 delay of the event loop, ms",
                    ],
                    ...costs.map(
                        cost => [
                            cost.name,
                            formatFigure(cost.cpuUsPerRequest),
                            formatFigure(cost.rssMib),
                            formatFigure(cost.loopP99Ms),
                        ],
                    ),
                ],
            },
            {
                title: "Logs and metrics",
                rows: [
                    ["answers/s on", "answers/s off", "on / off"],
                    [formatFigure(rateOn), formatFigure(rateOff), formatFigure(rateOn / rateOff)],
                ],
            },
            {
                title:
                    "Load of the machine, this bench included: figures of a run above its cores tell little",
                rows: [
                    ["cores", "load average before", "after"],
                    [cpus().length, ...loads.map(formatFigure)],
                ],
            },
        ],
        plots: [],
        targets: [
            {
                target: `at least ${TARGET_RATE} routed requests/s, logs and metrics on`,
                measured: formatFigure(rateOn),
                met: rateOn >= TARGET_RATE,
            },
            {
                target: `p99 added at ${TARGET_RATE * HALF}/s below ${TARGET_ADDED_MS} ms`,
                measured: `${formatFigure(addedMs)} ms; p99 ratio to direct ${formatFigure(ratio)}`,
                met: addedMs < TARGET_ADDED_MS,
            },
        ],
    };
}
