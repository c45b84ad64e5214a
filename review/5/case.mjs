/** Four of 33 workers crash once, a moment after three services were deployed there, and are back 1.5 s later. */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { makeJobId, runCase } from "../lib-2/cluster.mjs";
import { sleep } from "../lib-2/http.mjs";

const SERVICES = "/pule252/";
const AGENTS = "/lohu930/";
const WORKERS = 33;
const CRASHES = 4;
/** Services that are deployed together, each on as many workers. */
const DEPLOYED = 3;
const SERVICE_TASKS = 20;
const CRASH_AFTER_MS = 250;
const DOWN_MS = 1_500;
const WATCH_MS = 45_000;
/** The rule: from 6 s after the last run, for 3 s on end, where these and the 4 s before are calm. */
const AFTER_RUN_MS = 6_000;
const CALM_MS = 4_000;
const AWAY_MS = 3_000;
const SCHEDULE_MARGIN_MS = 300;

const options = {
    record: join(dirname(fileURLToPath(import.meta.url)), "record.txt"),
    nodes: 3,
    workers: WORKERS,
    routes: [{ name: "r-73hh2b9", prefix: SERVICES, priority: 1 }, { name: "r-wrr6x73", prefix: AGENTS, priority: 1 }],
    behave: () => ({ ms: Infinity }),
};

async function submitService(cluster, prefix, count, cpu) {
    const id = makeJobId();
    const step = { count, cpu, "mem-mb": 512, "estimated-ms": 400, "long-running": true, "anti-affinity": 1 };
    const { status } = await cluster.submit(prefix, id, { "task-spec": "service", steps: [step] });
    if (status !== 200) {
        throw new Error(`a service was not accepted: ${status}`);
    }
    return id;
}

const countRuns = (cluster, ids) =>
    cluster.workers.flatMap(({ life }) => [...life.runs.keys()]).filter(task => ids.includes(task.split(".")[0])).length;

async function waitForRuns(cluster, ids, count) {
    for (let tries = 0; countRuns(cluster, ids) < count; tries++) {
        if (tries === 1_000) {
            throw new Error("a service does not start");
        }
        await sleep(10);
    }
}

function pickWorkers(workers, count) {
    const left = [...workers];
    return Array.from({ length: count }, () => left.splice(Math.floor(Math.random() * left.length), 1)[0]);
}

await runCase(options, async (cluster, isTroubled) => {
    const agents = await submitService(cluster, AGENTS, WORKERS, 1_000);
    await waitForRuns(cluster, [agents], WORKERS);
    await sleep(2_000);
    const services = await Promise.all(
        Array.from({ length: DEPLOYED }, () => submitService(cluster, SERVICES, SERVICE_TASKS, 2_000)),
    );
    const tasks = DEPLOYED * SERVICE_TASKS;
    await waitForRuns(cluster, services, tasks);
    if (!isTroubled) {
        await sleep(5_000);
        return countRuns(cluster, services) === tasks ? [] : ["LOST: the services do not run"];
    }
    await sleep(CRASH_AFTER_MS);
    const crashedAt = cluster.getMs();
    const serving = cluster.workers.filter(({ life }) => [...life.runs.keys()].some(task => services.includes(task.split(".")[0])));
    await Promise.all(pickWorkers(serving, CRASHES).map(worker => worker.crash(DOWN_MS)));
    const calmFrom = cluster.getMs() + CALM_MS;
    let judgedMissing = 0;
    while (countRuns(cluster, services) < tasks && cluster.getMs() < crashedAt + WATCH_MS) {
        judgedMissing = tasks - countRuns(cluster, services);
        await sleep(50);
    }
    const now = cluster.getMs();
    const awayMs = now - Math.max(calmFrom, crashedAt + AFTER_RUN_MS);
    console.log(`${judgedMissing} tasks were away for ${now - crashedAt} ms; runs on the workers: ${
        cluster.workers.map(({ life }) => life.runs.size).join(" ")}`);
    return awayMs > AWAY_MS + SCHEDULE_MARGIN_MS ?
        [`LOST: ${judgedMissing} tasks that last had no run for ${now - crashedAt} ms beside workers with room`] :
        [];
});
