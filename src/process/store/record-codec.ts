/** Unwraps records of the store and refuses, aloud, those that this program cannot read. */
import type { StoreRecord } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import { decodeEnvelope, ENVELOPE_FORMAT } from "./envelope.js";

/** A record without its envelope. */
export interface UnwrappedRecord {
    readonly record: StoreRecord;
    readonly writeId: string;
}

/** Result of unwrapping. */
export type Unwrapped =
    | { readonly kind: "done"; readonly value: UnwrappedRecord; }
    | { readonly kind: "refused"; readonly message: string; };

/** Code of the warning about a record that is damaged. */
export const CORRUPT_RECORD_CODE = "CR2101";
/** Code of the warning about a record that a newer program wrote. */
export const NEWER_RECORD_CODE = "CR2102";

/**
 * Unwraps a record.
 * @param record - As it stands in the store.
 * @param log - Told of a record that is refused.
 */
export function decodeRecord(record: StoreRecord, log: Log): Unwrapped {
    const decoded = decodeEnvelope(record.value);
    switch (decoded.kind) {
        case "value":
            return {
                kind: "done",
                value: { record: { ...record, value: decoded.data }, writeId: decoded.writeId },
            };
        case "newer": {
            const message = `record ${record.key} has format ${decoded.format}, this program reads up to ` +
                `${ENVELOPE_FORMAT}: replace this entry by the newer program`;
            log.warn(NEWER_RECORD_CODE, "store record refused", { key: record.key, remedy: message });
            return { kind: "refused", message };
        }
        case "corrupt": {
            const message =
                `record ${record.key} at revision ${record.revision} is damaged: restore it from ` +
                "the platform's backup or delete it";
            log.warn(CORRUPT_RECORD_CODE, "store record refused", { key: record.key, remedy: message });
            return { kind: "refused", message };
        }
    }
}
