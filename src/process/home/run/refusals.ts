/** Answers of the home that say that nothing was accepted or changed. */
import type { Millis } from "../../../common/clock.js";
import { buildNotRun, NotRunReason } from "../../../common/outcome.js";
import type { Outcome } from "../../../common/outcome.js";
import type { HomeReply } from "../../../connection/messages.js";
import type { AppendResult } from "../log/index.js";

const STORE_RETRY_MS: Millis = 2_000;
const OWNER_RETRY_MS: Millis = 500;
const LOAD_RETRY_MS: Millis = 1_000;

/** The store is away, and nothing was written. */
export function buildStoreAway(): Outcome {
    const remedy = "the store cannot be reached, so nothing could be accepted: come back later";
    return buildNotRun(NotRunReason.storeUnavailable, remedy, STORE_RETRY_MS);
}

/** The slice is not served here now. */
export function buildNotOwner(message: string, retryAfterMs: Millis = OWNER_RETRY_MS): Outcome {
    return buildNotRun(NotRunReason.notOwner, message, retryAfterMs);
}

/** A limit of this home is reached. */
export function buildOverloaded(what: string): Outcome {
    return buildNotRun(NotRunReason.overloaded, `${what}: come back later`, LOAD_RETRY_MS);
}

/**
 * Outcome of a write that did not take place.
 * @param result - Result of the append.
 */
export function convertNotWritten(
    result: Extract<AppendResult, { readonly kind: "notWritten"; }>,
): Outcome {
    switch (result.reason) {
        case "unavailable":
            return buildStoreAway();
        case "closed":
            return buildNotOwner("another entry has taken over this work: ask again");
        case "tooLarge": {
            const remedy =
                "it is too large to be kept: hand in a payload under 300 KB, and larger data by name";
            return buildNotRun(NotRunReason.overloaded, remedy);
        }
    }
}

/** As an answer. */
export function refuseWith(outcome: Outcome): HomeReply {
    return { kind: "refused", outcome };
}
