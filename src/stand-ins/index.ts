/** Stand-ins for the platform and its workers, for tests, benches and the demo. */
export * from "./store-model.js";
export * from "./synthetic-work.js";
export * from "./vm-list-model.js";
export * from "./worker-journal.js";
export * from "./worker-model.js";
