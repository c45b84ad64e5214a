/** Stand-ins for the platform and its workers, for tests, benches and the demo. */
export type { RunningStandIn } from "./http-stand-in.js";
export * from "./store-model.js";
export * from "./store-stand-in.js";
export * from "./synthetic-work.js";
export * from "./task-worker-model.js";
export * from "./vm-list-model.js";
export * from "./vm-list-stand-in.js";
export * from "./worker-journal.js";
export * from "./worker-model.js";
export * from "./worker-stand-in.js";
