/** Decodes records of the store; rejects those that this program cannot read, with a warning. */
import type { StoreRecord } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import { decodeEnvelope, ENVELOPE_FORMAT } from "./envelope.js";

/** A record without its envelope. */
export interface DecodedRecord {
    readonly record: StoreRecord;
    readonly writeId: string;
}

/** Result of {@link decodeRecord}. */
export type DecodeResult =
    | { readonly kind: "done"; readonly value: DecodedRecord; }
    | { readonly kind: "refused"; readonly message: string; };

/** Code of the warning about a damaged record. */
export const CORRUPT_RECORD_CODE = "CR2101";
/** Code of the warning about a record written by a newer program. */
export const NEWER_RECORD_CODE = "CR2102";

/** Removes the envelope of a record; logs a warning if the record cannot be read. */
export function decodeRecord(record: StoreRecord, log: Log): DecodeResult {
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
