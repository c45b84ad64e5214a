/** Writes a value of a home slice and retries until the result is certain. */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import type { StoreRecord } from "../../ports/index.js";
import type { RoleContext } from "../../roles.js";

/** Result of {@link settleWrite}. */
export type SettledWrite =
    | { readonly kind: "done"; readonly revision: number; }
    /** Certainly without effect. */
    | { readonly kind: "unavailable"; }
    | { readonly kind: "tooLarge"; }
    /**
     * The key holds another record. `mayHaveApplied`: this write may have taken effect before that record.
     */
    | { readonly kind: "lost"; readonly current: StoreRecord | undefined; readonly mayHaveApplied: boolean; }
    /** The slice was closed before the result was certain. */
    | { readonly kind: "stopped"; readonly mayHaveApplied: boolean; };

/** Dependencies of a write. */
export interface WriteScope {
    readonly context: Pick<RoleContext, "store" | "clock" | "random" | "metrics">;
    isStopped(): boolean;
}

/** A compare-and-swap of one key. */
export interface LogWrite {
    readonly key: string;
    readonly value: string;
    readonly expectedRevision: number;
}

/** Timeout of one attempt. */
export const ATTEMPT_TIMEOUT_MS: Millis = 2_000;
const RETRY_DELAY_MS: Millis = 250;

/**
 * Writes by compare-and-swap until the result is certain.
 *
 * @remarks The result `unknown` may be the lost answer of a write that took effect. The same text is then
 * written again with the same expected revision, so that at most one attempt takes effect. The text names its
 * writer and sequence, so finding it in the store proves that this write took effect.
 */
export async function settleWrite(scope: WriteScope, write: LogWrite): Promise<SettledWrite> {
    let isUncertain = false;
    for (;;) {
        if (scope.isStopped()) {
            return { kind: "stopped", mayHaveApplied: isUncertain };
        }
        const result = await scope.context.store.write({ ...write, timeoutMs: ATTEMPT_TIMEOUT_MS });
        switch (result.kind) {
            case "done":
                return { kind: "done", revision: result.revision };
            case "refused":
            case "superseded": {
                const current = result.current;
                if (current !== undefined && current.value === write.value) {
                    return { kind: "done", revision: current.revision };
                }
                const mayHaveApplied = isUncertain || result.kind === "superseded";
                return { kind: "lost", current, mayHaveApplied };
            }
            case "tooLarge":
            case "noLease":
                return { kind: "tooLarge" };
            case "unavailable":
                if (!isUncertain) {
                    return { kind: "unavailable" };
                }
                break;
            case "unknown":
                isUncertain = true;
                break;
        }
        await sleep(scope.context.clock, RETRY_DELAY_MS * (1 + scope.context.random.pickFraction()));
    }
}
