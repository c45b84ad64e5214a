/** A demo cell on loopback: stand-ins for the platform and several entries, all in this process. */
import { createHash } from "node:crypto";
import { systemClock } from "../../common/clock.js";
import { makeUniqueId, type Random } from "../../common/random.js";
import { parseEntrySettings } from "../../process/entry-settings/index.js";
import type { FieldChange } from "../../process/operator-gateway.js";
import { makeMemberId, type RunningEntry, startEntry } from "../../process/start-entry.js";
import type { Log, Metrics } from "../../process/telemetry.js";
import {
    type RunningStandIn,
    startStoreStandIn,
    startVmListStandIn,
    startWorkerStandIn,
} from "../../stand-ins/index.js";
import { compareTrees, DEFAULT_TREE, parseTreeFile } from "../../version/index.js";
import {
    CONNECTIONS_PER_WORKER,
    type Deployment,
    SLOTS_PER_WORKER,
    WORKERS,
    WORKERS_PER_RACK,
} from "./deployments.js";

const HOST = "127.0.0.1";
const ENTRIES = 3;
const VM_LIST_LAG_MS = 200;
const SHUTDOWN_MS = 5_000;
const SECRET_PARTS = 2;

/** A worker of the demo and its location. */
export interface DemoWorker {
    readonly workerId: string;
    readonly rack: string;
    readonly failureDomain: string;
}

/** A running cell. */
export interface DemoCell {
    readonly deployment: Deployment;
    readonly entries: readonly RunningEntry[];
    readonly workers: ReadonlyMap<string, DemoWorker>;
    readonly storeUrl: string;
    readonly vmListUrl: string;
    /** Tokens by team. */
    readonly tokens: ReadonlyMap<string, string>;
    readonly operatorToken: string;
    /** Shuts the entries down gracefully, then stops the stand-ins. */
    close(): Promise<void>;
}

/** Dependencies that all entries of the demo share. */
export interface DemoTools {
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Starts the cell of a deployment; the settings tree stays empty until it is edited. */
export async function startDemoCell(deployment: Deployment, tools: DemoTools): Promise<DemoCell> {
    const clock = systemClock;
    const store = await startStoreStandIn({ clock });
    const vmList = await startVmListStandIn({ clock, lagMs: VM_LIST_LAG_MS });
    const workers = listWorkers(deployment);
    const standIns: RunningStandIn[] = [store, vmList];
    for (const worker of workers) {
        const running = await startWorkerStandIn({
            clock,
            worker: {
                workerId: worker.workerId,
                capacity: deployment.worker,
                slots: SLOTS_PER_WORKER,
                maxConnections: CONNECTIONS_PER_WORKER,
                comparesEpochs: true,
            },
        });
        vmList.model.put({ ...worker, url: running.url, state: "live" });
        standIns.push(running);
    }
    const operatorToken = makeToken(tools.random);
    const entries = await startEntries(deployment, tools, store.url, vmList.url, operatorToken);
    return {
        deployment,
        entries,
        workers: new Map(workers.map(worker => [worker.workerId, worker])),
        storeUrl: store.url,
        vmListUrl: vmList.url,
        tokens: new Map(listTeams(deployment).map(team => [team, makeToken(tools.random)])),
        operatorToken,
        close: async () => {
            await Promise.all(entries.map(entry => entry.leave()));
            await Promise.all(standIns.map(standIn => standIn.close()));
        },
    };
}

function listWorkers({ name, failureDomains }: Deployment): readonly DemoWorker[] {
    return Array.from({ length: WORKERS }, (...[, index]) => {
        const rack = Math.floor(index / WORKERS_PER_RACK);
        return {
            workerId: `${name}-w${index + 1}`,
            rack: `${name}-r${rack + 1}`,
            failureDomain: failureDomains[rack % failureDomains.length] ?? "",
        };
    });
}

async function startEntries(
    deployment: Deployment,
    tools: DemoTools,
    storeUrl: string,
    vmListUrl: string,
    operatorToken: string,
): Promise<readonly RunningEntry[]> {
    const secret = Array.from({ length: SECRET_PARTS }, () => makeUniqueId(tools.random)).join("");
    const starts = Array.from({ length: ENTRIES }, (...[, index]) => {
        const settings = buildSettings({
            memberName: `entry-${index + 1}`,
            cell: deployment.name,
            failureDomain: deployment.failureDomains[index],
            peers: { listen: { host: HOST, port: 0 }, secret },
            http: { listen: { host: HOST, port: 0 } },
            platform: { store: storeUrl, vmList: vmListUrl },
            shutdownMs: SHUTDOWN_MS,
            operators: [{ name: "demo", tokenSha256: hashToken(operatorToken) }],
        });
        const memberId = makeMemberId(settings.memberName, tools.random);
        return startEntry({ ...tools, settings, memberId, clock: systemClock });
    });
    return await Promise.all(starts);
}

/** Validates settings like an operator's file, so that the demo only runs on settings that an entry accepts. */
function buildSettings(value: object) {
    const parsed = parseEntrySettings(JSON.stringify(value));
    if (parsed.kind === "faults") {
        throw new Error(`invalid demo settings: ${JSON.stringify(parsed.faults)}`);
    }
    return parsed.value;
}

function listTeams({ work }: Deployment): readonly string[] {
    return [...new Set(work.map(({ team }) => team))];
}

function makeToken(random: Random): string {
    return makeUniqueId(random);
}

function hashToken(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}

/** Lists the changes that turn the default tree into the deployment's tree, with the teams' tokens added. */
export function listTreeChanges(cell: DemoCell): readonly FieldChange[] {
    const parsed = parseTreeFile(JSON.stringify(cell.deployment.tree));
    if (parsed.kind === "faults") {
        throw new Error(`invalid demo settings tree: ${JSON.stringify(parsed.faults)}`);
    }
    const teams = Object.entries(parsed.value.teams ?? {}).map(([team, settings]) => {
        const token = cell.tokens.get(team);
        return [
            team,
            token === undefined ? settings : { ...settings, tokenHashes: [hashToken(token)] },
        ] as const;
    });
    return compareTrees(DEFAULT_TREE.root, { ...parsed.value, teams: Object.fromEntries(teams) });
}
