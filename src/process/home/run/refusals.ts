/** Replies of the home role for requests that were refused without any effect. */
import type { Millis } from "../../../common/clock.js";
import { buildNotRun, NotRunReason } from "../../../common/outcome.js";
import type { Outcome } from "../../../common/outcome.js";
import type { HomeReply } from "../../../connection/messages.js";
import type { AppendResult } from "../log/index.js";

const STORE_RETRY_MS: Millis = 2_000;
const OWNER_RETRY_MS: Millis = 500;
const LOAD_RETRY_MS: Millis = 1_000;

/** The store is unavailable, and nothing was written. */
export function buildStoreUnavailable(): Outcome {
    const remedy = "the store cannot be reached, so nothing could be accepted: come back later";
    return buildNotRun(NotRunReason.storeUnavailable, remedy, STORE_RETRY_MS);
}

/** This entry does not serve the slice now. */
export function buildNotOwner(message: string, retryAfterMs: Millis = OWNER_RETRY_MS): Outcome {
    return buildNotRun(NotRunReason.notOwner, message, retryAfterMs);
}

/** A limit of this home slice is reached; `what` names it. */
export function buildOverloaded(what: string): Outcome {
    return buildNotRun(NotRunReason.overloaded, `${what}: come back later`, LOAD_RETRY_MS);
}

/** Converts the reason why an append was not written to the outcome of the request that needed it. */
export function convertNotWritten(
    result: Extract<AppendResult, { readonly kind: "notWritten"; }>,
): Outcome {
    switch (result.reason) {
        case "unavailable":
            return buildStoreUnavailable();
        case "closed":
            return buildNotOwner("another entry has taken over this work: ask again");
        case "tooLarge": {
            const remedy =
                "it is too large to be kept: hand in a payload under 300 KB, and larger data by name";
            return buildNotRun(NotRunReason.overloaded, remedy);
        }
    }
}

/** Wraps an outcome in a refusal. */
export function refuseWith(outcome: Outcome): HomeReply {
    return { kind: "refused", outcome };
}
