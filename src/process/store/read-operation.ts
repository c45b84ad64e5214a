/** Reads with retries; answers older than a revision already seen are discarded. */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { StoreAnswer, StoreListing, StoreRecord } from "../ports/index.js";
import type { ReadResult } from "../store-client.js";
import type { Log } from "../telemetry.js";
import { computeBackoff } from "./backoff.js";
import { decodeRecord } from "./record-codec.js";
import type { CallKind, StoreCalls } from "./store-calls.js";

/** Dependencies of operations on the store. */
export interface OperationContext {
    readonly calls: StoreCalls;
    readonly random: Random;
    readonly log: Log;
}

/** An idempotent call that is retried until it is answered. */
export interface RetriedCall<Value> {
    readonly kind: CallKind;
    readonly deadline: Millis;
    readonly send: (timeout: Millis) => Promise<StoreAnswer<Value>>;
    /** Whether an answer is usable; otherwise the call is retried. */
    readonly isUsable?: (value: Value) => boolean;
}

/** Retries an idempotent call with backoff until it is answered or its deadline has passed. */
export async function retryCall<Value>(
    context: OperationContext,
    call: RetriedCall<Value>,
): Promise<ReadResult<Value>> {
    const { calls, random } = context;
    let message = "no try was made";
    for (let attempts = 1;; attempts++) {
        const answer = await calls.request(call, (...[, timeout]) => call.send(timeout));
        if (answer.kind === "done" && (call.isUsable?.(answer.value) ?? true)) {
            return { kind: "done", value: answer.value };
        }
        message = describeFailure(answer);
        const delay = computeBackoff(attempts, random);
        if (calls.isClosed() || calls.clock.now() + delay >= call.deadline) {
            return { kind: "unavailable", message };
        }
        await sleep(calls.clock, delay);
    }
}

/**
 * Reads all records under a prefix, without envelopes. Fails if one of them cannot be decoded.
 * @param deadline - Instant at which to stop retrying.
 */
export async function listRecords(
    context: OperationContext,
    prefix: string,
    deadline: Millis,
): Promise<ReadResult<StoreListing>> {
    const listing = await listEncoded(context, prefix, deadline);
    if (listing.kind !== "done") {
        return listing;
    }
    const records: StoreRecord[] = [];
    for (const encoded of listing.value.records) {
        const decoded = decodeRecord(encoded, context.log);
        if (decoded.kind === "refused") {
            return { kind: "unavailable", message: decoded.message };
        }
        records.push(decoded.value.record);
    }
    return { kind: "done", value: { records, revision: listing.value.revision } };
}

/**
 * Reads one record, without its envelope.
 * @param deadline - Instant at which to stop retrying.
 * @param knownRevision - Highest known revision of the key, 0 if none; an answer with a lower one is stale.
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
    const decoded = decodeRecord(fresh.value, context.log);
    return decoded.kind === "done" ?
        { kind: "done", value: decoded.value.record } :
        { kind: "unavailable", message: decoded.message };
}

/**
 * Detects a read served by a lagging replica of the store (a record older than a known one, or none where one
 * is known) and replaces it by a listing. A listing carries the store's revision, so one at or above the
 * highest revision seen cannot be stale.
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
    const listing = await listEncoded(context, key, deadline);
    return listing.kind === "done" ?
        { kind: "done", value: listing.value.records.find(candidate => candidate.key === key) } :
        listing;
}

async function listEncoded(
    context: OperationContext,
    prefix: string,
    deadline: Millis,
): Promise<ReadResult<StoreListing>> {
    const { calls } = context;
    const minRevision = calls.getHighestRevision();
    const listing = await retryCall(context, {
        kind: "reads",
        deadline,
        send: timeout => calls.port.list(prefix, timeout),
        isUsable: value => value.revision >= minRevision,
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
