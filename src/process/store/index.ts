/** The store client: definite results of writes, watches without gaps, rate-limited calls. */
export { createStoreClient } from "./create-store-client.js";
export type { StoreClientOptions } from "./create-store-client.js";
export { decodeEnvelope, encodeEnvelope, ENVELOPE_FORMAT } from "./envelope.js";
export { CORRUPT_RECORD_CODE, NEWER_RECORD_CODE } from "./record-codec.js";
