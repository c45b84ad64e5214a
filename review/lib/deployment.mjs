/** A small deployment on loopback: a store, workers of one service, one queue, and three entries. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Client } from "./client.mjs";
import { BOUNDS, EntryNode } from "./node.mjs";
import { sleep, waitUntil } from "./record.mjs";
import { Store } from "./store.mjs";
import { Machine } from "./worker.mjs";

const BACKEND = "catalogo";
export const QUEUE_HOST = "portale.example";
export const QUEUE_PREFIX = "/lavori/";
const ENTRIES = 3;
const START_LIMIT_MS = 20_000;
/** Traffic starts some seconds after the machines do. */
const LEAD_MS = 3_000;

/** Starts a deployment whose owner must close it. */
export async function openDeployment({ root, recorder, machines, capacity, getWork, observe, maxAttempts = 4, kinds = [] }) {
    const folder = mkdtempSync(join(tmpdir(), "cactusrack-review-"));
    const store = new Store();
    await store.open();
    const pool = Array.from({ length: machines }, (_, index) =>
        new Machine({
            name: `m${index + 1}`,
            backend: BACKEND,
            capacity,
            labels: [kinds[index] ?? "a", `r1-${1 + index % 2}`],
            store,
            recorder,
            bounds: BOUNDS,
            getWork,
            observe,
        }));
    const nodes = Array.from({ length: ENTRIES }, (_, index) =>
        new EntryNode({ name: `edge-${index + 1}`, root, folder, storeAddress: store.address, recorder }));
    const close = async () => {
        await Promise.all(nodes.map(node => node.close()));
        pool.forEach(machine => machine.close());
        store.close();
        if (process.env.KEEP_FOLDER === undefined) {
            rmSync(folder, { recursive: true, force: true });
        }
        else {
            process.stdout.write(`logs of the entries: ${folder}\n`);
        }
    };
    store.put("op/config", {
        version: 3,
        routes: [{
            name: "lavori",
            hostname: QUEUE_HOST,
            prefix: QUEUE_PREFIX,
            backend: BACKEND,
            priority: 1,
            "max-attempts": maxAttempts,
            stretch: 3,
            "target-latency-ms": 1_000,
        }],
        services: [{ name: BACKEND, "max-conns": 64, "admission-check": false }],
        limits: { "max-body-bytes": 262_144 },
    });
    for (const machine of pool) {
        await machine.open();
    }
    for (const node of nodes) {
        await node.open();
    }
    const areReady = await waitUntil(
        async () => (await Promise.all(nodes.map(node => node.isReady()))).every(Boolean),
        START_LIMIT_MS,
    );
    if (!areReady) {
        await close();
        throw new Error("the entries were not ready in time");
    }
    await sleep(LEAD_MS);
    const client = new Client({ nodes, host: QUEUE_HOST, prefix: QUEUE_PREFIX, recorder });
    return { store, pool, nodes, client, close };
}

/** Finds the entry that last wrote to the store under a condition: the one that leads. */
export function findLeader({ store, nodes }) {
    const { nodeName } = JSON.parse(store.readText("cactusrack/leader/record") ?? "{}");
    return nodes.find(({ name }) => name === nodeName);
}
