/** What the named stories of failures share: a cell, a script, the end of all faults, and the checker. */
import assert from "node:assert/strict";
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { Callers } from "./callers.js";
import type { CellMember } from "./cell-member.js";
import { Cell, type CellOptions } from "./cell.js";
import { checkPromises } from "./checker.js";
import type { AskedJob } from "./evidence.js";
import { settle } from "./random-runs.js";

/** A story's cell and callers. */
export interface StoryScope {
    readonly cell: Cell;
    readonly callers: Callers;
}

const DEFAULT_OPTIONS: CellOptions = { seed: 11, entries: 4, workers: 6, comparesEpochs: true };

/**
 * Runs a story: opens a cell, runs the script, lets all work end, and checks every promise.
 * @param script - What happens.
 * @param options - Differences from a cell of 4 entries and 6 workers.
 */
export async function runStory(
    script: (scope: StoryScope) => Promise<void>,
    options: Partial<CellOptions> = {},
): Promise<StoryScope> {
    const cell = new Cell({ ...DEFAULT_OPTIONS, ...options });
    await cell.open();
    const callers = new Callers(cell);
    await script({ cell, callers });
    await settle(cell, callers);
    assert.deepEqual(checkPromises({ ...cell.collectEvidence(), ...callers }), []);
    return { cell, callers };
}

/** Runs a story on workers of both kinds. */
export async function runStoryOnBoth(script: (scope: StoryScope) => Promise<void>): Promise<void> {
    for (const comparesEpochs of [true, false]) {
        await runStory(script, { comparesEpochs });
    }
}

/**
 * Sends mixed work to all entries that are up, until a time is over.
 * @param scope - The cell and its callers.
 * @param duration - How long.
 * @param interval - Between two requests.
 */
export async function runLoad(
    { cell, callers }: StoryScope,
    duration: Millis,
    interval: Millis,
): Promise<void> {
    const end = cell.clock.now() + duration;
    for (let index = 0; cell.clock.now() < end; index++) {
        const up = cell.listUp();
        const member = up[index % Math.max(1, up.length)];
        if (member !== undefined) {
            void callers.sendRequest(member, { repeatable: index % 3 !== 0, serviceMs: 40 });
        }
        if (index % 10 === 0) {
            void callers.submit({ kind: "batch", tasks: 2, runMs: 1_500, repeatable: index % 20 === 0 });
        }
        await sleep(cell.clock, interval);
    }
}

/** Returns the entry that owns a home slice, as the first entry that is up knows. */
export function findHomeOwner(cell: Cell, slice: number): CellMember {
    const [first] = cell.listUp();
    const owner = first?.entry.operators.getStatus().homeSlices[slice]?.owner;
    return requireMember(cell, owner);
}

/** Returns the entry that owns the slice of a worker. */
export function findPlacer(cell: Cell, workerId: string): CellMember {
    const owner = cell.listUp().find(member =>
        member.entry.operators.getStatus().workers.some(worker => worker.workerId === workerId)
    );
    return requireMember(cell, owner?.memberId);
}

/** Returns how the tasks of a job stand. */
export function getCounts(job: AskedJob): Record<string, number> {
    return Object.fromEntries(Object.entries(job.view?.counts ?? {}).filter(([, count]) => count > 0));
}

/** Counts the answers to requests by their kind. */
export function countOutcomes(callers: Callers): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { outcome } of callers.requests) {
        const kind = outcome?.kind ?? "none";
        counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
}

function requireMember(cell: Cell, memberId: string | undefined): CellMember {
    const member = cell.listLives().find(life => life.memberId === memberId);
    assert(member !== undefined, `no entry ${memberId ?? "with such an owner"}`);
    return member;
}
