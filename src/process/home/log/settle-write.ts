/** One write of a home slice's log, carried on until its result is certain. */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import type { StoreRecord } from "../../ports/index.js";
import type { RoleContext } from "../../roles.js";

/** Result of {@link settleWrite}. */
export type SettledWrite =
    | { readonly kind: "done"; readonly revision: number; }
    /** Surely without effect. */
    | { readonly kind: "unavailable"; }
    | { readonly kind: "tooLarge"; }
    /** Another record stands there. `mayHaveStood`: ours may have stood there before it. */
    | { readonly kind: "lost"; readonly current: StoreRecord | undefined; readonly mayHaveStood: boolean; }
    /** The slice was closed first. */
    | { readonly kind: "stopped"; readonly mayHaveStood: boolean; };

/** What a write of the log needs. */
export interface WriteScope {
    readonly context: Pick<RoleContext, "store" | "clock" | "random" | "metrics">;
    isStopped(): boolean;
}

/** What is to be written. */
export interface LogWrite {
    readonly key: string;
    readonly value: string;
    readonly expectedRevision: number;
}

/** Patience of one try. */
export const TRY_PATIENCE_MS: Millis = 2_000;
const RETRY_PAUSE_MS: Millis = 250;

/**
 * Writes by compare-and-swap until the result is certain.
 *
 * @remarks Guards against the lost answer of a write that took effect: it shows as `unknown`. The same text is
 * written again on the same expected revision, so that at most one of the tries can take effect, and the text
 * names its writer and sequence, so that finding it in place means that it is ours.
 */
export async function settleWrite(scope: WriteScope, write: LogWrite): Promise<SettledWrite> {
    let mayStand = false;
    for (;;) {
        if (scope.isStopped()) {
            return { kind: "stopped", mayHaveStood: mayStand };
        }
        const result = await scope.context.store.write({ ...write, patienceMs: TRY_PATIENCE_MS });
        switch (result.kind) {
            case "done":
                return { kind: "done", revision: result.revision };
            case "refused":
            case "superseded": {
                const current = result.current;
                if (current !== undefined && current.value === write.value) {
                    return { kind: "done", revision: current.revision };
                }
                const mayHaveStood = mayStand || result.kind === "superseded";
                return { kind: "lost", current, mayHaveStood };
            }
            case "tooLarge":
            case "noLease":
                return { kind: "tooLarge" };
            case "unavailable":
                if (!mayStand) {
                    return { kind: "unavailable" };
                }
                break;
            case "unknown":
                mayStand = true;
                break;
        }
        await sleep(scope.context.clock, RETRY_PAUSE_MS * (1 + scope.context.random.pickFraction()));
    }
}
