/** Reads with retries: answers that are older than what was seen before are discarded. */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { StoreAnswer, StoreListing, StoreRecord } from "../ports/index.js";
import type { ReadResult } from "../store-client.js";
import type { Log } from "../telemetry.js";
import { computeBackoff } from "./backoff.js";
import { decodeRecord } from "./record-codec.js";
import type { CallKind, StoreCalls } from "./store-calls.js";

/** What operations on the store need. */
export interface OperationContext {
    readonly calls: StoreCalls;
    readonly random: Random;
    readonly log: Log;
}

/** A call that is tried until it is answered. */
export interface RetriedCall<Value> {
    readonly kind: CallKind;
    readonly deadline: Millis;
    readonly send: (timeout: Millis) => Promise<StoreAnswer<Value>>;
    /** Whether an answer is of use; others are tried again. */
    readonly isUsable?: (value: Value) => boolean;
}

/**
 * Makes a call that may be repeated freely until it is answered or its time is over.
 * @param context - The store and its helpers.
 * @param call - The call.
 */
export async function retryCall<Value>(
    context: OperationContext,
    call: RetriedCall<Value>,
): Promise<ReadResult<Value>> {
    const { calls, random } = context;
    let message = "no try was made";
    for (let tries = 1;; tries++) {
        const answer = await calls.request(call, (...[, timeout]) => call.send(timeout));
        if (answer.kind === "done" && (call.isUsable?.(answer.value) ?? true)) {
            return { kind: "done", value: answer.value };
        }
        message = describeFailure(answer);
        const wait = computeBackoff(tries, random);
        if (calls.isClosed() || calls.clock.now() + wait >= call.deadline) {
            return { kind: "unavailable", message };
        }
        await sleep(calls.clock, wait);
    }
}

/**
 * Reads all records under a prefix, without envelopes.
 * @param context - The store and its helpers.
 * @param prefix - Keys to read.
 * @param deadline - Instant to give up.
 */
export async function listRecords(
    context: OperationContext,
    prefix: string,
    deadline: Millis,
): Promise<ReadResult<StoreListing>> {
    const listing = await listRaw(context, prefix, deadline);
    if (listing.kind !== "done") {
        return listing;
    }
    const records: StoreRecord[] = [];
    for (const raw of listing.value.records) {
        const unwrapped = decodeRecord(raw, context.log);
        if (unwrapped.kind === "refused") {
            return { kind: "unavailable", message: unwrapped.message };
        }
        records.push(unwrapped.value.record);
    }
    return { kind: "done", value: { records, revision: listing.value.revision } };
}

/**
 * Reads one record, without its envelope.
 * @param context - The store and its helpers.
 * @param key - Its key.
 * @param deadline - Instant to give up.
 * @param knownRevision - Revision at which the key is known to have stood, 0 if none: an older answer is stale.
 */
export async function readRecord(
    context: OperationContext,
    key: string,
    deadline: Millis,
    knownRevision: number,
): Promise<ReadResult<StoreRecord | undefined>> {
    const read = await retryCall(context, {
        kind: "reads",
        deadline,
        send: timeout => context.calls.port.read(key, timeout),
    });
    if (read.kind !== "done") {
        return read;
    }
    const fresh = await ensureFresh(context, key, deadline, knownRevision, read.value);
    if (fresh.kind !== "done" || fresh.value === undefined) {
        return fresh;
    }
    context.calls.observeRevision(fresh.value.revision);
    const unwrapped = decodeRecord(fresh.value, context.log);
    return unwrapped.kind === "done" ?
        { kind: "done", value: unwrapped.value.record } :
        { kind: "unavailable", message: unwrapped.message };
}

/**
 * Guards against a read served by a copy of the store that lags: it shows as a record older than one known, or as
 * no record where one is known. A listing carries the store's revision, so one at or above the highest seen
 * cannot be from before.
 */
async function ensureFresh(
    context: OperationContext,
    key: string,
    deadline: Millis,
    knownRevision: number,
    record: StoreRecord | undefined,
): Promise<ReadResult<StoreRecord | undefined>> {
    if ((record?.revision ?? 0) >= knownRevision) {
        return { kind: "done", value: record };
    }
    const listing = await listRaw(context, key, deadline);
    return listing.kind === "done" ?
        { kind: "done", value: listing.value.records.find(candidate => candidate.key === key) } :
        listing;
}

async function listRaw(
    context: OperationContext,
    prefix: string,
    deadline: Millis,
): Promise<ReadResult<StoreListing>> {
    const { calls } = context;
    const floor = calls.getSeenRevision();
    const listing = await retryCall(context, {
        kind: "reads",
        deadline,
        send: timeout => calls.port.list(prefix, timeout),
        isUsable: value => value.revision >= floor,
    });
    if (listing.kind === "done") {
        calls.observeRevision(listing.value.revision);
    }
    return listing;
}

function describeFailure(answer: StoreAnswer<unknown>): string {
    switch (answer.kind) {
        case "done":
            return "the store answered with an older state than seen before";
        case "refused":
            return `the store refused: ${answer.reason}`;
        case "unavailable":
        case "unknown":
            return answer.message;
    }
}
