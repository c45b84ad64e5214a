/** Sample messages of different kinds, for tests of the protocol between entries. */
import type { PeerMessage, PlaceOrder } from "../../connection/messages.js";

const resources = { cpuMillis: 500, memoryMib: 256, accelerators: 0 };
const caller = { callerId: "c1", team: "verona" };
const home = { homeSlice: 3, epoch: 7, sequence: 9 };

export const SAMPLE_ORDER: PlaceOrder = {
    attempt: "j.0.7.1",
    jobId: "j",
    index: 0,
    home,
    kind: "batch",
    branch: "batch/rebuild",
    caller,
    urgent: false,
    repeatable: true,
    resources,
    waitedMs: 12.5,
    payload: "p",
};

export const SAMPLE_DIGEST: PeerMessage = {
    kind: "digest",
    sequence: 1,
    treeVersion: 4,
    tableRevision: 20,
    storeContactAgeMs: -1,
    draining: false,
    suspects: ["b"],
    echoes: { a: 4, b: 7 },
    slices: [0, 3, 17, 21, 40, 63].map(slice => ({ slice, epoch: 2, ready: true })),
    load: {
        workers: 10,
        freeSlots: 3,
        totalSlots: 80,
        queuedRequests: 0,
        queuedTasks: 0,
        free: resources,
        total: resources,
        largestFree: resources,
        largestWorker: resources,
        teamUse: { verona: resources },
    },
};

export const SAMPLE_SERVE: PeerMessage = {
    kind: "call",
    callId: "9",
    timeoutMs: 1_000,
    body: {
        kind: "serve",
        requestId: "r",
        attempt: "r.1",
        caller,
        branch: "services/catalogo-beni",
        body: new Uint8Array([1, 2, 3]),
        contentType: "application/json",
        deadlineMs: 900,
        avoid: [],
    },
};

export const SAMPLE_MESSAGES: readonly PeerMessage[] = [
    SAMPLE_DIGEST,
    SAMPLE_SERVE,
    {
        kind: "call",
        callId: "1",
        timeoutMs: 5,
        body: { kind: "home", homeSlice: 1, request: { kind: "showJob", jobId: "j", team: undefined } },
    },
    {
        kind: "call",
        callId: "2",
        timeoutMs: 5,
        body: { kind: "reserve", gangId: "g", home, orders: [SAMPLE_ORDER], holdMs: 100 },
    },
    {
        kind: "answer",
        callId: "3",
        body: {
            kind: "served",
            outcome: { kind: "notRun", reason: "overloaded", remedy: "come back", retryAfterMs: 10 },
            retrySafe: true,
        },
    },
    { kind: "answer", callId: "4", body: { kind: "error", code: "notReady", message: "m" } },
    { kind: "note", body: { kind: "place", orders: [SAMPLE_ORDER] } },
    {
        kind: "note",
        body: {
            kind: "updates",
            homeSlice: 1,
            updates: [{ attempt: "j.0.7.1", jobId: "j", index: 0, state: "done", answer: "a", ranMs: 3 }],
        },
    },
];
