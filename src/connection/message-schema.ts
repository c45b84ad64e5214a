/**
 * Schema validation of received {@link PeerMessage}s: every field of a valid message has its declared type.
 */
import { z } from "zod";
import { NotRunReason } from "../common/outcome.js";
import { JobState, WorkKind } from "../request/work.js";
import { PeerErrorCode, TaskUpdateState } from "./messages.js";
import type { PeerMessage } from "./messages.js";

const count = z.int().nonnegative();
const text = z.string();
const bytes = z.instanceof(Uint8Array);
const resources = z.object({ cpuMillis: count, memoryMib: count, accelerators: count });
/** Resources that may be negative, such as the free capacity of a worker that runs more than it declared. */
const signedResources = z.object({ cpuMillis: z.int(), memoryMib: z.int(), accelerators: z.int() });
const caller = z.object({ callerId: text, team: text });
const homeFence = z.object({ homeSlice: count, epoch: count, sequence: count });

const outcome = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), answer: bytes, contentType: text, workerId: text }),
    z.object({ kind: z.literal("failed"), message: text, workerId: text }),
    z.object({
        kind: z.literal("notRun"),
        reason: z.enum(NotRunReason),
        remedy: text,
        retryAfterMs: z.number().optional(),
    }),
    z.object({ kind: z.literal("mayHaveRun"), message: text }),
    z.object({ kind: z.literal("cancelled"), started: z.boolean() }),
]);

const sliceStatus = z.object({ slice: count, epoch: count, ready: z.boolean() });

const placerLoad = z.object({
    workers: count,
    freeSlots: z.int(),
    totalSlots: count,
    queuedRequests: count,
    queuedTasks: count,
    free: signedResources,
    total: signedResources,
    largestFree: signedResources,
    largestWorker: signedResources,
    teamUse: z.record(text, signedResources),
});

const digest = z.object({
    kind: z.literal("digest"),
    sequence: count,
    treeVersion: count,
    tableRevision: count,
    storeContactAgeMs: z.number(),
    draining: z.boolean(),
    suspects: z.array(text),
    echoes: z.record(text, count),
    slices: z.array(sliceStatus),
    load: placerLoad,
});

const jobSpec = z.object({
    kind: z.enum([WorkKind.batch, WorkKind.gang, WorkKind.short]),
    branch: text,
    tasks: z.int().positive(),
    resources,
    estimateMs: z.number().optional(),
    urgent: z.boolean(),
    repeatable: z.boolean(),
    payload: text,
    idempotencyKey: text.optional(),
});

const jobView = z.object({
    jobId: text,
    caller,
    spec: jobSpec,
    state: z.enum(JobState),
    submittedWallMs: z.number(),
    counts: z.object({
        waiting: count,
        running: count,
        done: count,
        failed: count,
        notRun: count,
        mayHaveRun: count,
        cancelled: count,
    }),
    tasks: z.array(z.object({
        index: count,
        state: z.enum(["waiting", "running", "ended"]),
        workerId: text.optional(),
        outcome: outcome.optional(),
        attempts: count,
        waitsFor: text.optional(),
    })),
});

/**
 * The key is required by the type, though the value may be undefined: operators send requests without a team.
 */
const team = z.custom<string | undefined>(
    value => value === undefined || typeof value === "string",
    "expected a team's name or undefined",
);
const homeRequest = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("submitJob"), jobId: text, caller, spec: jobSpec }),
    z.object({ kind: z.literal("showJob"), jobId: text, team }),
    z.object({ kind: z.literal("waitJob"), jobId: text, team, waitMs: z.number() }),
    z.object({ kind: z.literal("cancelJob"), jobId: text, team }),
    z.object({ kind: z.literal("explainJob"), jobId: text, team }),
    z.object({
        kind: z.literal("runRequest"),
        requestKey: text,
        requestId: text,
        caller,
        branch: text,
        body: bytes,
        contentType: text,
        repeatable: z.boolean(),
        deadlineMs: z.number(),
    }),
]);

const homeReply = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("job"), job: jobView, created: z.boolean() }),
    z.object({ kind: z.literal("explanation"), lines: z.array(text) }),
    z.object({ kind: z.literal("outcome"), outcome, repeated: z.boolean() }),
    z.object({ kind: z.literal("notFound") }),
    z.object({ kind: z.literal("keyConflict"), message: text }),
    z.object({ kind: z.literal("refused"), outcome }),
    z.object({ kind: z.literal("uncertain"), message: text }),
]);

const placeOrder = z.object({
    attempt: text,
    jobId: text,
    index: count,
    home: homeFence,
    kind: z.enum(WorkKind),
    branch: text,
    caller,
    urgent: z.boolean(),
    repeatable: z.boolean(),
    resources,
    estimateMs: z.number().optional(),
    waitedMs: z.number(),
    payload: text,
    checkpoint: text.optional(),
    gangId: text.optional(),
});

const taskUpdate = z.object({
    attempt: text,
    jobId: text,
    index: count,
    state: z.enum(TaskUpdateState),
    workerId: text.optional(),
    sliceEpoch: count.optional(),
    answer: text.optional(),
    message: text.optional(),
    checkpoint: text.optional(),
    reason: text.optional(),
    retryAfterMs: z.number().optional(),
    ranMs: z.number().optional(),
});

const callBody = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("serve"),
        requestId: text,
        attempt: text,
        caller,
        branch: text,
        body: bytes,
        contentType: text,
        deadlineMs: z.number(),
        avoid: z.array(text),
        home: homeFence.optional(),
    }),
    z.object({ kind: z.literal("home"), homeSlice: count, request: homeRequest }),
    z.object({ kind: z.literal("census"), homeSlice: count, epoch: count, floor: count }),
    z.object({
        kind: z.literal("reserve"),
        gangId: text,
        home: homeFence,
        orders: z.array(placeOrder),
        holdMs: z.number(),
    }),
    z.object({ kind: z.literal("tree") }),
    z.object({ kind: z.literal("table") }),
    z.object({ kind: z.literal("force"), version: count, text, revision: count }),
    z.object({ kind: z.literal("explain"), jobId: text }),
]);

const answerBody = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("served"), outcome, retrySafe: z.boolean() }),
    z.object({ kind: z.literal("home"), reply: homeReply }),
    z.object({ kind: z.literal("census"), slices: z.array(sliceStatus), tasks: z.array(taskUpdate) }),
    z.object({ kind: z.literal("reserved"), held: count, moreAfterMs: z.number().optional() }),
    z.object({ kind: z.literal("tree"), version: count, text, revision: count }),
    z.object({ kind: z.literal("table"), text, revision: count }),
    z.object({ kind: z.literal("forced"), version: count }),
    z.object({ kind: z.literal("explained"), lines: z.array(text) }),
    z.object({ kind: z.literal("error"), code: z.enum(PeerErrorCode), message: text }),
]);

const noteBody = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("place"), orders: z.array(placeOrder) }),
    z.object({
        kind: z.literal("withdraw"),
        homeSlice: count,
        attempts: z.array(text),
        stop: z.boolean(),
    }),
    z.object({ kind: z.literal("confirm"), homeSlice: count, attempts: z.array(text) }),
    z.object({ kind: z.literal("acknowledge"), homeSlice: count, attempts: z.array(text) }),
    z.object({ kind: z.literal("updates"), homeSlice: count, updates: z.array(taskUpdate) }),
]);

const peerMessage = z.discriminatedUnion("kind", [
    digest,
    z.object({ kind: z.literal("call"), callId: text, timeoutMs: z.number(), body: callBody }),
    z.object({ kind: z.literal("answer"), callId: text, body: answerBody }),
    z.object({ kind: z.literal("note"), body: noteBody }),
]);

type DeepRequired<Type> = Type extends Uint8Array ? Uint8Array :
    Type extends readonly (infer Element)[] ? readonly DeepRequired<Element>[] :
    Type extends object ? { readonly [Key in keyof Type]-?: DeepRequired<Type[Key]>; } :
    Type;

/**
 * Fails to compile when a field of a message, optional fields included, is missing from the schema.
 *
 * @remarks Validation drops fields that the schema does not have. Without this check, a field that is added
 * to `messages.ts` only would get lost without an error, and only in messages between entries.
 */
export type SchemaCoversMessages = AssertTrue<
    DeepRequired<z.output<typeof peerMessage>> extends DeepRequired<PeerMessage> ? true : false
>;

type AssertTrue<Condition extends true> = Condition;

/** Result of validating a message. */
export type MessageCheck =
    | { readonly kind: "valid"; readonly message: PeerMessage; }
    | { readonly kind: "invalid"; readonly fault: string; };

/** Most faults reported for one message, since a hostile message could contain thousands. */
const MAX_REPORTED_FAULTS = 3;

/**
 * Validates a decoded value.
 * @param value - The decoded content of a frame.
 * @returns The message without unknown fields, or a description of its faults.
 */
export function checkPeerMessage(value: unknown): MessageCheck {
    const result = peerMessage.safeParse(value);
    if (result.success) {
        return { kind: "valid", message: result.data };
    }
    const fault = result.error.issues
        .slice(0, MAX_REPORTED_FAULTS)
        .map(issue => `${issue.path.join(".") || "message"}: ${issue.message}`)
        .join("; ");
    return { kind: "invalid", fault };
}
