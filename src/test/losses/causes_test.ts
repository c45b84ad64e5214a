/** The main cause of a late job, derived from the log lines of the nodes. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseMainCause, findDisruptions } from "../../../bench/losses/causes.js";
import { buildTimelines } from "../../../bench/losses/job-timeline.js";
import { parseLogLines } from "../../../bench/losses/log-lines.js";

type Entry = readonly [time: number, event: string, fields: Readonly<Record<string, unknown>>];

interface Case {
    readonly name: string;
    readonly entries: readonly Entry[];
    readonly cause: string | undefined;
}

const JOB = "00000000000000aa";
const STEP = `${JOB}.0.0`;
const TASK = `${STEP}.0`;
const OBJECTIVE_MS = 1_000;

const ACCEPTED: Entry = [0, "jobDecided", { jobId: JOB, queue: "q", outcome: "accepted" }];

function makeOrder(time: number, run = 1): Entry {
    return [time, "runOrdered", { task: TASK, run, tookMs: 0 }];
}

function makeEnd(time: number, end: string, run = 1): Entry {
    return [time, "runEnded", { task: TASK, run, end, isCurrent: true }];
}

function makeClosed(time: number): Entry {
    return [time, "jobClosed", { jobId: JOB, phase: "completed", objectiveMs: OBJECTIVE_MS }];
}

const CASES: readonly Case[] = [
    {
        name: "none for a job that ended in time",
        entries: [ACCEPTED, makeOrder(50), makeEnd(700, "done"), makeClosed(700)],
        cause: undefined,
    },
    {
        name: "room where its task was ordered late",
        entries: [ACCEPTED, makeOrder(1_500), makeEnd(2_000, "done"), makeClosed(2_000)],
        cause: "room",
    },
    {
        name: "permits where the answer came late",
        entries: [
            ACCEPTED,
            [1_450, "adviceGiven", { step: STEP, answer: "done" }],
            makeOrder(1_500),
            makeEnd(2_000, "done"),
            makeClosed(2_000),
        ],
        cause: "permits",
    },
    {
        name: "a failed run where it was repeated",
        entries: [
            ACCEPTED,
            makeOrder(50),
            makeEnd(900, "failed"),
            makeOrder(950, 2),
            makeEnd(1_500, "done", 2),
            makeClosed(1_500),
        ],
        cause: "failed runs",
    },
    {
        name: "a lost run where its worker was lost",
        entries: [
            ACCEPTED,
            makeOrder(50),
            makeEnd(5_000, "lost"),
            makeOrder(5_050, 2),
            makeEnd(5_600, "done", 2),
            makeClosed(5_600),
        ],
        cause: "lost runs",
    },
    {
        name: "no leader where none was ready",
        entries: [
            ACCEPTED,
            [100, "leaderState", { storeAway: false }],
            [2_100, "leadershipReady", {}],
            makeOrder(2_150),
            makeEnd(2_700, "done"),
            makeClosed(2_700),
        ],
        cause: "no leader",
    },
    {
        name: "the journal where a new leader took long to read it",
        entries: [
            ACCEPTED,
            [100, "leaderState", { storeAway: false }],
            [300, "leadershipWon", {}],
            [2_300, "leadershipReady", {}],
            makeOrder(2_350),
            makeEnd(2_900, "done"),
            makeClosed(2_900),
        ],
        cause: "journal",
    },
    {
        name: "the leader where its regular lines came late",
        entries: [
            ACCEPTED,
            [100, "leaderState", { storeAway: false }],
            [2_900, "leaderState", { storeAway: false }],
            makeOrder(2_950),
            makeEnd(3_500, "done"),
            makeClosed(3_500),
        ],
        cause: "leader late",
    },
    {
        name: "the store where it was unavailable",
        entries: [
            ACCEPTED,
            [100, "leaderState", { storeAway: false }],
            [1_100, "leaderState", { storeAway: true }],
            [2_100, "leaderState", { storeAway: true }],
            [3_100, "leaderState", { storeAway: false }],
            makeOrder(3_150),
            makeEnd(3_700, "done"),
            makeClosed(3_700),
        ],
        cause: "store away",
    },
    {
        name: "its runs where nothing else took time",
        entries: [ACCEPTED, makeOrder(50), makeEnd(3_000, "done"), makeClosed(3_000)],
        cause: "long runs",
    },
];

describe("the cause of a late job", () => {
    for (const { name, entries, cause } of CASES) {
        it(`is ${name}`, () => {
            const text = entries
                .map(([time, event, fields]) =>
                    `collector: ${JSON.stringify({ time, member: "n1", event, ...fields })}`
                )
                .join("\n");
            const lines = parseLogLines(`${text}\nnot a line\n{"time":1,`);
            const [job] = buildTimelines(lines);
            assert(job !== undefined);
            assert.equal(chooseMainCause(job, findDisruptions(lines)), cause);
        });
    }
});
