/** A large gang waits for room behind long tasks; meanwhile a service's small task fails once. */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { makeJobId, runCase } from "../lib-2/cluster.mjs";
import { sleep } from "../lib-2/http.mjs";

const SERVICES = "/pule252/";
const GANGS = "/lohu930/";
const BATCH = "/pufi791/";
const WORKERS = 8;
const WORKER_CPU = 16_000;
const SERVICE_CPU = 1_000;
const BATCH_TASKS = 15;
const BATCH_CPU = 4_000;
const BATCH_MS = 15_000;
const GANG_TASKS = 40;
const GANG_CPU = 2_000;
const GANG_MS = 6_000;
const SERVICE_AGE_MS = 14_000;
const WATCH_MS = 30_000;
/** The rule: from 6 s after its last run, for 3 s on end, where these and the 4 s before are calm; a burst lasts 4 s. */
const AFTER_RUN_MS = 6_000;
const BURST_MS = 4_000;
const CALM_MS = 4_000;
const AWAY_MS = 3_000;

let service = "";
let batch = "";
const options = {
    record: join(dirname(fileURLToPath(import.meta.url)), "record.txt"),
    nodes: 3,
    workers: WORKERS,
    capacity: { cpu: WORKER_CPU, "mem-mb": 65_536, gpu: 0 },
    routes: [
        { name: "r-73hh2b9", prefix: SERVICES, priority: 1 },
        { name: "r-wrr6x73", prefix: GANGS, priority: 1 },
        { name: "r-d3zji9n", prefix: BATCH, priority: 2 },
    ],
    behave: task => {
        if (task.startsWith(service)) {
            return { ms: Infinity };
        }
        return { ms: task.startsWith(batch) ? BATCH_MS : GANG_MS, end: "done" };
    },
};

async function submit(cluster, prefix, step) {
    const id = makeJobId();
    const { status } = await cluster.submit(prefix, id, { "task-spec": "work", steps: [{ "mem-mb": 512, ...step }] });
    if (status !== 200) {
        throw new Error(`a job was not accepted: ${status}`);
    }
    return id;
}

const findWorker = cluster =>
    cluster.workers.find(({ life }) => [...life.runs.keys()].some(task => task.startsWith(service)));

await runCase(options, async (cluster, isTroubled) => {
    service = await submit(cluster, SERVICES, { count: 1, cpu: SERVICE_CPU, "estimated-ms": 400, "long-running": true });
    await sleep(SERVICE_AGE_MS);
    batch = await submit(cluster, BATCH, { count: BATCH_TASKS, cpu: BATCH_CPU, "estimated-ms": BATCH_MS });
    await sleep(500);
    const calmFrom = cluster.getMs() + BURST_MS + CALM_MS;
    if (isTroubled) {
        await submit(cluster, GANGS, { count: GANG_TASKS, cpu: GANG_CPU, "estimated-ms": GANG_MS, gang: true });
    }
    await sleep(500);
    const worker = findWorker(cluster);
    if (worker === undefined) {
        throw new Error("the service does not run");
    }
    const begun = [...worker.life.runs.values()].find(({ task }) => task.startsWith(service));
    worker.endRun(worker.life, begun, "failed");
    const failedAt = cluster.getMs();
    const used = cluster.workers.map(({ life }) => [...life.runs.keys()].length * BATCH_CPU);
    while (findWorker(cluster) === undefined && cluster.getMs() < failedAt + WATCH_MS) {
        await sleep(50);
    }
    const awayMs = cluster.getMs() - failedAt;
    console.log(`the task was away for ${awayMs} ms; in use on the workers when it failed: ${used.join(" ")} of ${WORKER_CPU} each`);
    const judgedMs = cluster.getMs() - Math.max(calmFrom, failedAt + AFTER_RUN_MS);
    return judgedMs > AWAY_MS ? [`LOST: the task of ${service} had no run for ${awayMs} ms while half of the room was free`] : [];
});
