/** A compare-and-swap that ends in a true result, whatever becomes of its tries and their answers. */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { StoreAnswer, StoreRecord } from "../ports/index.js";
import type { StoreWrite, WriteResult } from "../store-client.js";
import { computeBackoff } from "./backoff.js";
import { encodeEnvelope } from "./envelope.js";
import type { OperationContext } from "./read-operation.js";
import { decodeRecord } from "./record-codec.js";

/** State of one write over its tries. */
interface WriteState {
    readonly write: StoreWrite;
    readonly writeId: string;
    readonly deadline: Millis;
    /** Whether a try may have taken effect without our knowing. */
    mayHaveLanded: boolean;
}

/**
 * Writes until the result is known or the patience is over.
 *
 * @remarks The failure guarded against: the answer of a try is lost after it took effect, or the try is delayed
 * and takes effect after the next one. It shows as an answer `unknown`. The guard: each retry carries the same
 * write id and the same expected revision. Only one of the tries can find the key at that revision, so the write
 * cannot land twice; and when a retry is refused, the record that stands there says by its write id whether it
 * is ours. A retry is therefore itself the read back, and unlike a plain read it also shuts a delayed try out.
 * @param context - The store and its helpers.
 * @param write - What to write.
 * @param writeId - Unique for this write.
 */
export async function runWrite(
    context: OperationContext,
    write: StoreWrite,
    writeId: string,
): Promise<WriteResult> {
    const { calls, random } = context;
    const deadline = calls.clock.now() + write.patienceMs;
    const state: WriteState = { write, writeId, deadline, mayHaveLanded: false };
    for (let tries = 1;; tries++) {
        const answer = await sendTry(context, state);
        const result = await decideResult(context, state, answer);
        if (result !== undefined) {
            return result;
        }
        const wait = computeBackoff(tries, random);
        if (calls.isClosed() || calls.clock.now() + wait >= deadline) {
            return buildOpenResult(state, answer);
        }
        await sleep(calls.clock, wait);
    }
}

function sendTry(context: OperationContext, state: WriteState): Promise<StoreAnswer<number>> {
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
            return decideRefused(context, state, answer);
        case "unknown":
            state.mayHaveLanded = true;
            return undefined;
        case "unavailable":
            return undefined;
    }
}

function decideRefused(
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
    const unwrapped = decodeRecord(current, context.log);
    if (unwrapped.kind === "refused") {
        const kind = state.mayHaveLanded ? "unknown" : "unavailable";
        return { kind, message: unwrapped.message };
    }
    const { record, writeId } = unwrapped.value;
    if (writeId === state.writeId) {
        return { kind: "done", revision: record.revision };
    }
    return { kind: state.mayHaveLanded ? "superseded" : "refused", current: record };
}

/**
 * The key is absent though the write expected a record. A deletion whose earlier try may have landed has reached
 * its aim: the record it named is gone for good, since revisions never come back.
 */
function decideAbsent(state: WriteState): WriteResult {
    if (!state.mayHaveLanded) {
        return { kind: "refused", current: undefined };
    }
    return state.write.value === undefined ?
        { kind: "done", revision: UNKNOWN_REVISION } :
        { kind: "superseded", current: undefined };
}

function buildOpenResult(state: WriteState, answer: StoreAnswer<number>): WriteResult {
    const message = answer.kind === "unavailable" || answer.kind === "unknown" ? answer.message : answer.kind;
    return { kind: state.mayHaveLanded ? "unknown" : "unavailable", message };
}

/** Revision of a deletion that was settled without the answer that told it. */
const UNKNOWN_REVISION = 0;
