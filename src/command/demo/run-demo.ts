/** Runs the demo: brings up the cells, hands in each kind of work and collects the reports. */
import { type Millis, sleep, systemClock } from "../../common/clock.js";
import type { StatusView } from "../../process/operator-gateway.js";
import { createSilentMetrics } from "../../process/sinks/index.js";
import { createProcessRandom } from "../../process/start-entry.js";
import { createDecisionKeeper, type DecisionKeeper } from "./decision-keeper.js";
import { type DemoCell, listTreeChanges, startDemoCell } from "./demo-cell.js";
import { DEPLOYMENTS } from "./deployments.js";
import { runWork, type WorkReport } from "./run-work.js";

const READY_LIMIT_MS: Millis = 15_000;
const POLL_MS: Millis = 50;

/** How one deployment went. */
export interface DeploymentReport {
    readonly name: string;
    readonly entries: readonly {
        readonly member: string;
        readonly url: string;
        readonly failureDomain: string;
    }[];
    readonly workers: number;
    readonly readyMs: number;
    /** Answer to the edit that brought the tree in. */
    readonly edit: string;
    readonly work: readonly WorkReport[];
}

/** How the demo went. */
export interface DemoReport {
    readonly ok: boolean;
    readonly tookMs: number;
    readonly deployments: readonly DeploymentReport[];
    readonly warnings: Readonly<Record<string, number>>;
}

/** A demo whose cells still serve. */
export interface FinishedDemo {
    readonly report: DemoReport;
    readonly cells: readonly DemoCell[];
}

/** Runs the demo; the caller closes the cells. */
export async function runDemo(): Promise<FinishedDemo> {
    const startedAt = systemClock.now();
    const decisions = createDecisionKeeper();
    const tools = { random: createProcessRandom(), log: decisions, metrics: createSilentMetrics() };
    const cells = await Promise.all(DEPLOYMENTS.map(deployment => startDemoCell(deployment, tools)));
    const deployments = await Promise.all(cells.map(cell => runCell(cell, decisions, startedAt)));
    return {
        cells,
        report: {
            ok: deployments.every(({ work }) => work.length > 0 && work.every(({ ok }) => ok)),
            tookMs: Math.round(systemClock.now() - startedAt),
            deployments,
            warnings: Object.fromEntries(decisions.getWarnings()),
        },
    };
}

async function runCell(
    cell: DemoCell,
    decisions: DecisionKeeper,
    startedAt: Millis,
): Promise<DeploymentReport> {
    await waitUntil(() =>
        cell.entries.every(({ entry }) => isJoined(entry.operators.getStatus(), cell.entries.length))
    );
    const edit = await editTree(cell);
    await waitUntil(() =>
        cell.entries.every(({ entry }) => entry.isReady()) && countOpenWorkers(cell) === cell.workers.size
    );
    const readyMs = Math.round(systemClock.now() - startedAt);
    const work: WorkReport[] = [];
    for (const [index, each] of cell.deployment.work.entries()) {
        work.push(await runWork({ cell, decisions }, each, index));
    }
    return {
        name: cell.deployment.name,
        entries: cell.entries.map(({ self }) => ({
            member: self.memberId,
            url: self.httpUrl,
            failureDomain: self.failureDomain,
        })),
        workers: cell.workers.size,
        readyMs,
        edit,
        work,
    };
}

async function editTree(cell: DemoCell): Promise<string> {
    const [first] = cell.entries;
    const startedAt = systemClock.now();
    const reply = await first?.entry.operators.editTree({
        editId: "demo-first-tree",
        baseVersion: 0,
        author: "demo",
        changes: listTreeChanges(cell),
    });
    if (reply?.kind === "accepted" || reply?.kind === "written") {
        const tookMs = Math.round(systemClock.now() - startedAt);
        return `version ${reply.version} ${reply.kind} after ${tookMs} ms, in force on ${reply.inForce.length} entries`;
    }
    return JSON.stringify(reply);
}

function isJoined(status: StatusView, members: number): boolean {
    return status.mayAct && status.members.filter(({ reachable }) => reachable).length === members;
}

function countOpenWorkers(cell: DemoCell): number {
    return cell.entries
        .flatMap(({ entry }) => entry.operators.getStatus().workers)
        .filter(({ state }) => state === "open").length;
}

/** Gives up silently: what was not ready shows in the reports of the work. */
async function waitUntil(isDone: () => boolean): Promise<void> {
    const deadline = systemClock.now() + READY_LIMIT_MS;
    while (!isDone() && systemClock.now() < deadline) {
        await sleep(systemClock, POLL_MS);
    }
}
