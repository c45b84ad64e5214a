/** Runs the demo: starts the cells, submits each kind of work and collects the reports. */
import { type Millis, sleep, systemClock } from "../../common/clock.js";
import type { StatusView } from "../../process/operator-gateway.js";
import { createSilentMetrics } from "../../process/sinks/index.js";
import { createProcessRandom } from "../../process/start-entry.js";
import { createDecisionRecorder, type DecisionRecorder } from "./decision-recorder.js";
import { type DemoCell, listTreeChanges, startDemoCell } from "./demo-cell.js";
import { DEPLOYMENTS } from "./deployments.js";
import { runWork, type WorkReport } from "./run-work.js";

const READY_TIMEOUT_MS: Millis = 15_000;
const POLL_INTERVAL_MS: Millis = 50;

/** Result of one deployment. */
export interface DeploymentReport {
    readonly name: string;
    readonly entries: readonly {
        readonly member: string;
        readonly url: string;
        readonly failureDomain: string;
    }[];
    readonly workers: number;
    readonly readyMs: number;
    /** Reply to the edit that installed the settings tree. */
    readonly edit: string;
    readonly work: readonly WorkReport[];
}

/** Result of the demo. */
export interface DemoReport {
    readonly ok: boolean;
    readonly tookMs: number;
    readonly deployments: readonly DeploymentReport[];
    readonly warnings: Readonly<Record<string, number>>;
}

/** A completed demo whose cells are still running. */
export interface FinishedDemo {
    readonly report: DemoReport;
    readonly cells: readonly DemoCell[];
}

/** Runs the demo. The caller must close the cells. */
export async function runDemo(): Promise<FinishedDemo> {
    const startedAt = systemClock.now();
    const decisions = createDecisionRecorder();
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
    decisions: DecisionRecorder,
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
    for (const [index, demoWork] of cell.deployment.work.entries()) {
        work.push(await runWork({ cell, decisions }, demoWork, index));
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

/** Returns without an error on timeout: a cell that is not ready shows in the work reports. */
async function waitUntil(isDone: () => boolean): Promise<void> {
    const deadline = systemClock.now() + READY_TIMEOUT_MS;
    while (!isDone() && systemClock.now() < deadline) {
        await sleep(systemClock, POLL_INTERVAL_MS);
    }
}
