/** The durable log of a home slice. */
export { openSlice } from "./open-log.js";
export type { OpenedSlice, OpenResult } from "./open-log.js";
export { CommitPacer } from "./pacer.js";
export type { AppendResult, FinalAppendResult } from "./pending-append.js";
export { buildImage } from "./read-back.js";
export type { RecordFault, RecordWriter } from "./records.js";
export { SliceLog } from "./slice-log.js";
