/**
 * The state of a home slice: equal logs give equal states, and a snapshot can replace the log that it covers.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HomeEntry, StoredOutcome } from "../../../../process/home/state/index.js";
import { HomeState, listSnapshotItems, restoreSnapshotItem } from "../../../../process/home/state/index.js";
import { CALLER, makeSpec } from "../home-cell.js";

const TASKS = 130;
const jobIds = fc.constantFrom("a", "b", "c");
const indexes = fc.integer({ min: 0, max: TASKS - 1 });
const ranges = fc.array(
    fc.tuple(indexes, indexes).map(([left, right]) =>
        [
            Math.min(left, right),
            Math.max(left, right),
        ] as const
    ),
    { maxLength: 3 },
);
const outcomes = fc.constantFrom<StoredOutcome>(
    { kind: "done", answer: "NDI=", contentType: "text/plain", workerId: "w1" },
    { kind: "failed", message: "no", workerId: "w1" },
    { kind: "mayHaveRun", message: "lost" },
    { kind: "cancelled", started: true },
    { kind: "cancelled", started: false },
);
const entries: fc.Arbitrary<HomeEntry> = fc.oneof(
    jobIds.map((jobId): HomeEntry => ({
        kind: "jobAccepted",
        jobId,
        caller: CALLER,
        spec: makeSpec({ tasks: TASKS }),
        wallMs: 5,
    })),
    fc.record({ kind: fc.constant("tasksStarting" as const), jobId: jobIds, ranges }),
    fc.record({
        kind: fc.constant("tasksEnded" as const),
        jobId: jobIds,
        ends: fc.array(fc.record({ index: indexes, outcome: outcomes, attempts: fc.constant(1) }), {
            maxLength: 5,
        }),
    }),
    fc.record({
        kind: fc.constant("taskRequeued" as const),
        jobId: jobIds,
        index: indexes,
        failures: fc.integer({ min: 0, max: 3 }),
    }),
    fc.record({ kind: fc.constant("jobCancelled" as const), jobId: jobIds, never: ranges, maybe: ranges }),
    fc.record({
        kind: fc.constant("requestStarting" as const),
        requestKey: jobIds,
        fingerprint: fc.constant("f"),
        repeatable: fc.boolean(),
        settleMs: fc.constant(5),
        branch: fc.constant("services"),
    }),
    fc.record({ kind: fc.constant("requestEnded" as const), requestKey: jobIds, outcome: outcomes }),
    fc.record({ kind: fc.constant("requestDropped" as const), requestKey: jobIds }),
    fc.record({
        kind: fc.constant("expired" as const),
        jobIds: fc.array(jobIds, { maxLength: 1 }),
        requestKeys: fc.array(jobIds, { maxLength: 1 }),
    }),
);

function applyAll(state: HomeState, log: readonly HomeEntry[], from: number): HomeState {
    log.forEach((entry, index) => state.apply(entry, from + index));
    return state;
}

function restore(state: HomeState): HomeState {
    const copy = new HomeState();
    copy.logTime = state.logTime;
    for (const item of listSnapshotItems(state)) {
        restoreSnapshotItem(copy, item);
    }
    return copy;
}

describe("the state of a home slice", () => {
    it("is the same from a snapshot and the rest of the log as from the whole log", () => {
        fc.assert(
            fc.property(
                fc.array(entries, { maxLength: 60 }),
                fc.integer({ min: 0, max: 60 }),
                (log, cut) => {
                    const whole = applyAll(new HomeState(), log, 0);
                    const half = restore(applyAll(new HomeState(), log.slice(0, cut), 0));
                    const rest = applyAll(half, log.slice(cut), Math.min(cut, log.length));
                    assert.deepEqual(listSnapshotItems(rest), listSnapshotItems(whole));
                    for (const [jobId, job] of whole.jobs) {
                        assert.deepEqual(rest.jobs.get(jobId)?.totals, job.totals);
                    }
                },
            ),
            { seed: 41, numRuns: 500 },
        );
    });

    it("never changes the end of a task, and its counts add up", () => {
        fc.assert(
            fc.property(fc.array(entries, { maxLength: 60 }), log => {
                const state = new HomeState();
                const ends = new Map<string, number>();
                for (const [at, entry] of log.entries()) {
                    state.apply(entry, at);
                    for (const [jobId, job] of state.jobs) {
                        assert.equal(job.totals.reduce((left, right) => left + right), TASKS);
                        for (let index = 0; index < TASKS; index++) {
                            checkEnd(ends, `${jobId} ${index} ${job.acceptedAt}`, job.codes[index] ?? 0);
                        }
                    }
                }
            }),
            { seed: 42, numRuns: 60 },
        );
    });
});

const FIRST_END_CODE = 2;

function checkEnd(ends: Map<string, number>, task: string, code: number): void {
    const previousCode = ends.get(task);
    assert.ok(
        previousCode === undefined || previousCode === code,
        `${task} ended as ${previousCode}, then ${code}`,
    );
    if (code >= FIRST_END_CODE) {
        ends.set(task, code);
    }
}
