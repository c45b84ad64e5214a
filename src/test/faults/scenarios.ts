/** Shared code of the fault scenarios: runs a script on a cell, lets it settle and checks all guarantees. */
import assert from "node:assert/strict";
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { Callers } from "./callers.js";
import type { CellMember } from "./cell-member.js";
import { Cell, type CellOptions } from "./cell.js";
import { checkGuarantees } from "./checker.js";
import type { SubmittedJob } from "./evidence.js";
import { settle } from "./random-runs.js";

/** A scenario's cell and callers. */
export interface ScenarioScope {
    readonly cell: Cell;
    readonly callers: Callers;
}

const DEFAULT_OPTIONS: CellOptions = { seed: 11, entries: 4, workers: 6, comparesEpochs: true };

/**
 * Runs a scenario: opens a cell, runs the script, lets all work end, and checks every guarantee.
 * @param options - Overrides of the default cell of 4 entries and 6 workers.
 */
export async function runScenario(
    script: (scope: ScenarioScope) => Promise<void>,
    options: Partial<CellOptions> = {},
): Promise<ScenarioScope> {
    const cell = new Cell({ ...DEFAULT_OPTIONS, ...options });
    await cell.open();
    const callers = new Callers(cell);
    await script({ cell, callers });
    await settle(cell, callers);
    assert.deepEqual(checkGuarantees({ ...cell.collectEvidence(), ...callers }), []);
    return { cell, callers };
}

/** Runs a scenario twice: on workers that compare epochs, and on workers that know leases only. */
export async function runScenarioOnBothKinds(script: (scope: ScenarioScope) => Promise<void>): Promise<void> {
    for (const comparesEpochs of [true, false]) {
        await runScenario(script, { comparesEpochs });
    }
}

/**
 * Sends mixed work to the entries that are up, in turn.
 * @param duration - Length of the load in milliseconds.
 * @param interval - Milliseconds between two requests.
 */
export async function runLoad(
    { cell, callers }: ScenarioScope,
    duration: Millis,
    interval: Millis,
): Promise<void> {
    const end = cell.clock.now() + duration;
    for (let index = 0; cell.clock.now() < end; index++) {
        const reachable = cell.listUp();
        const member = reachable[index % Math.max(1, reachable.length)];
        if (member !== undefined) {
            void callers.sendRequest(member, { repeatable: index % 3 !== 0, serviceMs: 40 });
        }
        if (index % 10 === 0) {
            void callers.submit({ kind: "batch", tasks: 2, runMs: 1_500, repeatable: index % 20 === 0 });
        }
        await sleep(cell.clock, interval);
    }
}

/** Returns the entry that owns a home slice, according to the first entry that is up. */
export function findHomeOwner(cell: Cell, slice: number): CellMember {
    const [first] = cell.listUp();
    const owner = first?.entry.operators.getStatus().homeSlices[slice]?.owner;
    return requireMember(cell, owner);
}

/** Returns the entry that places work on a worker. */
export function findPlacer(cell: Cell, workerId: string): CellMember {
    const owner = cell.listUp().find(member =>
        member.entry.operators.getStatus().workers.some(worker => worker.workerId === workerId)
    );
    return requireMember(cell, owner?.memberId);
}

/** Returns the non-zero counts of a job's tasks by state. */
export function getTaskCounts(job: SubmittedJob): Record<string, number> {
    return Object.fromEntries(Object.entries(job.view?.counts ?? {}).filter(([, count]) => count > 0));
}

/** Counts the outcomes of requests by their kind; those without an answer count as `none`. */
export function countOutcomes(callers: Callers): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { outcome } of callers.requests) {
        const kind = outcome?.kind ?? "none";
        counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
}

function requireMember(cell: Cell, memberId: string | undefined): CellMember {
    const member = cell.listIncarnations().find(incarnation => incarnation.memberId === memberId);
    assert(member !== undefined, `no entry ${memberId ?? "that is the owner"}`);
    return member;
}
