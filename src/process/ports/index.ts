/** The ports of an entry process: interfaces to the platform, workers and peers. */
export * from "./peer-port.js";
export * from "./store-port.js";
export * from "./vm-list-port.js";
export * from "./worker-port.js";
