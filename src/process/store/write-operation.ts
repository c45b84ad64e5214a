/**
 * A compare-and-swap with retries whose result is correct even if requests or answers are lost or delayed.
 */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { StoreAnswer, StoreRecord } from "../ports/index.js";
import type { StoreWrite, WriteResult } from "../store-client.js";
import { computeBackoff } from "./backoff.js";
import { encodeEnvelope } from "./envelope.js";
import type { OperationContext } from "./read-operation.js";
import { decodeRecord } from "./record-codec.js";

/** State of one write across its attempts. */
interface WriteState {
    readonly write: StoreWrite;
    readonly writeId: string;
    readonly deadline: Millis;
    /** Whether an attempt with an unknown outcome may have been applied. */
    mayHaveBeenApplied: boolean;
}

/**
 * Retries a write until its result is known or its time limit has passed.
 *
 * @remarks An attempt's answer may be lost after the attempt was applied, or the attempt may be applied later
 * than the next one; both give `unknown`. All attempts carry the same write id and expected revision, so at
 * most one is applied, and when a retry is refused, the write id of the current record tells whether it is
 * this write. A retry thus also serves as the read-back and, unlike a plain read, keeps a delayed attempt
 * from being applied afterwards.
 * @param writeId - Unique for this write.
 */
export async function runWrite(
    context: OperationContext,
    write: StoreWrite,
    writeId: string,
): Promise<WriteResult> {
    const { calls, random } = context;
    const deadline = calls.clock.now() + write.timeoutMs;
    const state: WriteState = { write, writeId, deadline, mayHaveBeenApplied: false };
    for (let attempts = 1;; attempts++) {
        const answer = await sendAttempt(context, state);
        const result = await decideResult(context, state, answer);
        if (result !== undefined) {
            return result;
        }
        const delay = computeBackoff(attempts, random);
        if (calls.isClosed() || calls.clock.now() + delay >= deadline) {
            return buildInconclusiveResult(state, answer);
        }
        await sleep(calls.clock, delay);
    }
}

function sendAttempt(context: OperationContext, state: WriteState): Promise<StoreAnswer<number>> {
    const { key, value, expectedRevision, leaseId, vital } = state.write;
    const text = value === undefined ? undefined : encodeEnvelope(state.writeId, value);
    return context.calls.request(
        { kind: "writes", deadline: state.deadline, vital },
        (port, timeout) => port.swap({ key, value: text, expectedRevision, leaseId }, timeout),
    );
}

async function decideResult(
    context: OperationContext,
    state: WriteState,
    answer: StoreAnswer<number>,
): Promise<WriteResult | undefined> {
    switch (answer.kind) {
        case "done":
            context.calls.observeRevision(answer.value);
            return { kind: "done", revision: answer.value };
        case "refused":
            return decideRefusal(context, state, answer);
        case "unknown":
            state.mayHaveBeenApplied = true;
            return undefined;
        case "unavailable":
            return undefined;
    }
}

function decideRefusal(
    context: OperationContext,
    state: WriteState,
    answer: StoreAnswer<number> & { readonly kind: "refused"; },
): WriteResult | undefined {
    switch (answer.reason) {
        case "conflict":
            return decideConflict(context, state, answer.current);
        case "noLease":
            return { kind: "noLease" };
        case "tooLarge":
            return { kind: "tooLarge" };
        case "compacted":
            return { kind: "unavailable", message: "the store refused a write as compacted" };
    }
}

function decideConflict(
    context: OperationContext,
    state: WriteState,
    current: StoreRecord | undefined,
): WriteResult {
    if (current === undefined) {
        return decideAbsent(state);
    }
    context.calls.observeRevision(current.revision);
    const decoded = decodeRecord(current, context.log);
    if (decoded.kind === "refused") {
        const kind = state.mayHaveBeenApplied ? "unknown" : "unavailable";
        return { kind, message: decoded.message };
    }
    const { record, writeId } = decoded.value;
    if (writeId === state.writeId) {
        return { kind: "done", revision: record.revision };
    }
    return { kind: state.mayHaveBeenApplied ? "superseded" : "refused", current: record };
}

/**
 * Handles a conflict where the key is absent although the write expected a record. A deletion with an earlier
 * attempt that may have been applied counts as done: the expected record is gone for good, since revisions
 * never recur.
 */
function decideAbsent(state: WriteState): WriteResult {
    if (!state.mayHaveBeenApplied) {
        return { kind: "refused", current: undefined };
    }
    return state.write.value === undefined ?
        { kind: "done", revision: UNKNOWN_REVISION } :
        { kind: "superseded", current: undefined };
}

function buildInconclusiveResult(state: WriteState, answer: StoreAnswer<number>): WriteResult {
    const message = answer.kind === "unavailable" || answer.kind === "unknown" ? answer.message : answer.kind;
    return { kind: state.mayHaveBeenApplied ? "unknown" : "unavailable", message };
}

/** Reported for a deletion whose result was inferred without an answer that carried the revision. */
const UNKNOWN_REVISION = 0;
