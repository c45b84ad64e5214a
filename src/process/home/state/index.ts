/** State of a home slice: entries, the reducer over them, and its snapshot. */
export * from "./entries.js";
export * from "./home-state.js";
export * from "./job-record.js";
export * from "./snapshot-items.js";
